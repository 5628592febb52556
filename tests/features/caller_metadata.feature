@each.gateway
Feature: Metadata of callers that cannot be read costs nobody a response

  Background:
    Given two more gateways and an instance for stage work

  Scenario Outline: A caller sends <header>: <text>
    # Guards against a number in the header of one request that ends its handler
    # without a response of this system.
    When a caller posts to <path> with the header <header> as <text>
    Then it gets a response other than 500

    Examples:
      | path          | header                       | text                    |
      | /safe/answer  | X-Ragworthollow-Deadline-Ms  | 5000 digits             |
      | /safe/answer  | X-Ragworthollow-Deadline-Ms  | inf                     |
      | /safe/answer  | X-Ragworthollow-Deadline-Ms  | nan                     |
      | /safe/answer  | X-Ragworthollow-Deadline-Ms  | 1e400                   |
      | /safe/answer  | X-Ragworthollow-Deadline-Ms  | 1e300                   |
      | /safe/answer  | X-Ragworthollow-Deadline-Ms  | -inf                    |
      | /safe/answer  | X-Ragworthollow-Deadline-Ms  | -1e300                  |
      | /stream/partial | X-Ragworthollow-Token-Usage | 5000 digits,1           |
      | /stream/partial | X-Ragworthollow-Token-Usage | 1,5000 digits           |
      | /stream/partial | X-Ragworthollow-Token-Usage | 400 digits,400 digits   |
      | /stream/partial | X-Ragworthollow-Prefix-Hash | a:5000 digits,b:1       |
      | /stream/partial | X-Ragworthollow-Prefix-Hash | a:400 digits,b:1        |
      | /staged/answer | X-Ragworthollow-Pieces      | 5000 digits             |
      | /staged/answer | X-Ragworthollow-Pieces      | 400 digits,1            |
      | /staged/answer | X-Ragworthollow-Pieces      | 999999999999,1          |
      | /resumable/partial | Last-Event-Id           | 5000 digits             |

  Scenario: Any text in the metadata of a request
    # Guards against headers that no list of examples has.
    Then requests with any text in their metadata get no 500, and sound ones are served
