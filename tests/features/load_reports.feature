Feature: Load reports of instances of any version are read

  Scenario Outline: A load report is read as far as it can be
    # Engines began to send a fourth figure, and the whole report was dropped:
    # gateways knew only the load of their own requests.
    When an instance reports its load as "<text>"
    Then <running> run, <waiting> wait in <slots> slots and work takes <ratio>

    Examples:
      | text            | running | waiting | slots | ratio |
      | 3,1,8           | 3       | 1       | 8     | None  |
      | 3,1,8,250       | 3       | 1       | 8     | 2.5   |
      | 3, 1, 8, 100, 7 | 3       | 1       | 8     | 1     |
      | 3,1,8,new=1,9   | 3       | 1       | 8     | None  |
      | 3,1,8,-1        | 3       | 1       | 8     | None  |
      | 3,?,8,250       | 3       | None    | 8     | 2.5   |
      | ?,?,0,0         | None    | None    | None  | None  |
      | 3               | 3       | None    | None  | None  |
      | ³,1,8           | None    | 1       | 8     | None  |

  Scenario: Any text in a load report is read without an error
    Then any text of a load report gives counts or nothing

  Scenario: A report without requests leaves those reported before
    # A report of the duration of work alone must not make an instance look
    # idle.
    Given an instance reported "6,2,8,100" at 1000
    When it reports "?,?,8,250" at 1200
    Then 8 requests of others are known at 1300 and work takes 2.5
    And 8 requests of others are known at 1900 and work takes None
    And 0 requests of others are known at 2100 and work takes None

  Scenario: A result with an unknown reason leaves the others of its call
    # An instance of a newer version gives a reason that this one does not know.
    When a call is answered with a handle and a reason that is new
    Then the first piece is done and the second failed

  Scenario: Later figures of a prompt leave the known ones
    When a request states tokens "1460,80,5" and parts "5c1e:800:x,91bd:410"
    Then its prompt has 1460 tokens, 80 follow, and parts of 800 and 410 tokens
