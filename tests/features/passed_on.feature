Feature: What callers send is passed on unchanged

  @each.gateway
  Scenario Outline: A body with Content-Encoding <encoding>
    # Guards against a body that is passed on decoded under the name of its
    # encoding, and against callers whose sound request is refused for it.
    When a caller posts a body with Content-Encoding <encoding>
    Then an upstream has received the same body and Content-Encoding <encoding>

    Examples:
      | encoding |
      | gzip     |
      | deflate  |
      | br       |
      | unknown  |

  @each.gateway
  Scenario Outline: The target <target>
    # Guards against an upstream that serves another target than the caller's.
    When a caller gets <target>
    Then an upstream has received the target <target>

    Examples:
      | target              |
      | /safe/answer?       |
      | /safe/answer??      |
      | /safe/answer?a=b%2F |
      | /safe/answer?a#b    |

  Scenario: A signal to reload arrives while the modules of a process load
    # Guards against a process that is ended by a signal to reload its settings.
    When a process gets SIGHUP while it loads its modules
    Then it goes on
