Feature: Instances and their space are not left idle for calls and callers that are gone

  Scenario: A call whose answer is lost is found by asking its instance
    # An answer is lost and its connection stays open.  The instance was taken
    # for busy until the call's timeout, six seconds later: two lost answers
    # left a pool of three instances with one, and its queue grew to eighty.
    Given a call that is overdue
    When its instance says that it works on nothing
    Then the call is given up as lost

  Scenario: A call that its instance works on is slow, not lost
    Given a call that is overdue
    When its instance says that it works
    Then the call is noted as slow once and ends with its answer

  Scenario: An instance that does not say keeps its call
    Given a call that is overdue
    When its instance does not say
    Then the call is noted as slow once and ends with its answer

  Scenario: An instance whose answer was lost is not under suspicion
    # The network lost the answer.  What the instance made takes space there
    # under names that nobody knows, until it expires.
    When the answer to a call of 2 pieces is lost
    Then its instance is trusted, its pieces wait again
    And its space counts 2 results more

  Scenario: What requests of a killed gateway hold is given up
    # A gateway is killed while its requests hold results of 1.5 MB.  They kept
    # their makers half idle for four seconds, in which its callers came back
    # to the other gateways.
    Given a gateway with 2 results of its requests at this host
    When another process of its name pings this host
    Then its results are given up and its pieces are wanted no more

  Scenario: A gateway that falls silent is gone, one that pings is not
    Given a gateway with 2 results of its requests at this host
    Then it counts as gone only after more than a second of silence

  Scenario: A new host is told what requests hold, and only once
    # The host of a gate is killed.  Its successor knew of no results: it sent
    # pieces into space that was taken until the retry budget was spent.
    Given results of which 2 of 3 are still held
    When the gate has another host
    Then that host is told of 2 results, and of none the next time

  Scenario: Near pieces go first in a long queue
    # By due time alone each call took pieces of all domains, and results were
    # read in another one two times in three.
    Given 2 instances in two domains with calls of 4 pieces
    When 8 pieces of both domains wait, those of each due in turn
    Then each call carries the pieces of its own domain

  Scenario: A piece that cannot be in time near its reader goes by its due time
    Given 2 instances in two domains with calls of 4 pieces
    When the near instance is busy and a piece for it is due at once
    Then the other instance makes it first

  Scenario: A loop that the gateway cannot do without ends by an error
    # A gateway whose loop that follows the store had ended served an old
    # configuration for ten seconds, and would have for ever: its log had one
    # line of it, and all else went on.
    When the loop of a gateway that follows the store ends by an error
    Then the gateway asks to be stopped

  Scenario: A gateway that knows no instances hosts no gate
    # A gateway is back while the store is away.  It answered pings, so that
    # the others gave it their gates: pieces waited there for two seconds, 114
    # of them, with the pool's instances idle.
    Given members of which the first in rank for a pool answers
    When it says that it knows no instances
    Then the next in rank hosts the gate
    And it hosts it again when it knows them
