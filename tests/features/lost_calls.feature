Feature: Lost calls and terminated callers do not occupy instances or space

  Scenario: A call whose response is lost is found by polling its instance
    # A response is lost while its connection stays open. The instance was
    # considered busy until the call's timeout six seconds later: two lost
    # responses left a pool of three instances with one, and its queue grew to
    # eighty.
    Given a call that is overdue
    When its instance reports that it works on nothing
    Then the call is abandoned as lost

  Scenario: A call that its instance still works on is slow, not lost
    Given a call that is overdue
    When its instance reports that it works
    Then the call is recorded as slow once and ends with its response

  Scenario: An instance that does not report its state keeps its call
    Given a call that is overdue
    When its instance does not report its state
    Then the call is recorded as slow once and ends with its response

  Scenario: An instance whose response was lost is not suspected
    # The network lost the response. The results that the instance made take
    # space there until they expire, under names that no gateway knows.
    When the response to a call of 2 pieces is lost
    Then its instance is not suspected and its pieces are queued again
    And its result space counts 2 more results

  Scenario: Results that requests of a killed gateway use are released
    # A gateway is killed while its requests use results of 1.5 MB. For four
    # seconds these results left their producers half idle, while the callers
    # retried at the other gateways.
    Given a gateway with 2 results of its requests at this host
    When another process of its name pings this host
    Then its results are released and its pieces are no longer awaited

  Scenario: A gateway counts as terminated only after it stops pinging
    Given a gateway with 2 results of its requests at this host
    Then it counts as terminated only after more than a second without a ping

  Scenario: A new host learns once which results are in use
    # The host of a scheduler is killed. Its successor knew of no results and
    # sent pieces to instances without free space until the retry budget was
    # spent.
    Given results of which 2 of 3 are still in use
    When the scheduler has another host
    Then that host is notified of 2 results, and of none the next time

  Scenario: Local pieces go first in a long queue
    # Ordered by due time alone, each call carried pieces of all domains, and
    # two results in three were read in another domain.
    Given 2 instances in two domains with calls of 4 pieces
    When 8 pieces of both domains wait, those of each due in turn
    Then each call carries the pieces of its own domain

  Scenario: A piece that would be late near its consumer goes by its due time
    Given 2 instances in two domains with calls of 4 pieces
    When the local instance is busy and a piece for it is due at once
    Then the other instance processes it first

  Scenario: A gateway shuts down when an essential loop ends with an error
    # A gateway whose loop that polls the store had failed served an old
    # configuration for ten seconds, and would have done so indefinitely:
    # everything else continued, and the log had a single line about it.
    When the loop of a gateway that polls the store ends with an error
    Then the gateway requests its shutdown

  Scenario: An essential loop ends with an error during a planned stop
    # Guards against requests that are cut because a stopping process gets a
    # second signal, from itself, which ends it at once.
    When a loop of a gateway that is already stopping ends with an error
    Then the gateway requests no second shutdown

  Scenario: Two essential loops end with an error at the same moment
    # Guards against a process that sends itself a second signal before the
    # first one has been handled, and ends at once.
    When two loops of a gateway end with an error at the same moment
    Then the gateway requests its shutdown

  Scenario: A gateway that knows no instances hosts no scheduler
    # A gateway restarts while the store is unavailable. It answered pings, so
    # the other gateways handed it their schedulers: 114 pieces waited there for
    # two seconds while the pool's instances were idle.
    Given members of which the first in rank for a pool responds
    When it reports that it knows no instances
    Then the next in rank hosts the scheduler
    And it hosts it again when it knows them
