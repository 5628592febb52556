Feature: The stand-in of the store keeps apart what processes hold

  Scenario: No two processes get the same lease
    # Guards against a process whose keys expire with the lease of another, or
    # are kept alive by it after the process has ended.
    Given a stand-in of the store
    When many processes are granted a lease and some of these end meanwhile
    Then each has been granted a lease of its own

  Scenario: A watch that is cancelled does not block the store
    # Guards against a fleet that does not settle: a watch was cancelled while its
    # wait ended, and kept a lock that each later write of any process waits for.
    Given a stand-in of the store
    When watches are cancelled at each moment of their wait
    Then a write still returns and wakes a watch
