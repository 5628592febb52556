@each.gateway
Feature: A gateway passes requests through and tells the truth about them

  Scenario Outline: A request that may not be repeated meets an upstream that <does>
    # A custody entry must not be recorded twice: whatever happens after the
    # request was handed over, it is not sent again, and no answer may claim
    # that it has not run.
    When a caller posts to /unsafe/<does>
    Then it gets status <status> and the request has run <runs> times

    Examples:
      | does     | status | runs |
      | answer   | 200    | 1    |
      | close    | 502    | 1    |
      | busy     | 502    | 1    |
      | fail     | 500    | 1    |
      | other    | 502    | 1    |
      | unsigned | 502    | 1    |
      | truncate | 502    | 1    |
      | reset    | 502    | 1    |
      | unframed | 200    | 1    |
      | refuse   | 503    | 0    |

  Scenario: A GET of a route that may not be repeated is sent once
    # The HTTP client sends a GET again by itself when a kept connection
    # breaks; the caller's entry would be recorded twice.
    When a caller gets /unsafe/answer
    And a caller gets /unsafe/close
    Then it gets status 502 and the request has run 1 times

  Scenario: A refusal says when to come back
    When a caller posts to /unsafe/refuse
    Then the answer has a Retry-After and no signature

  Scenario: A repeatable request goes on at another instance
    When a caller posts to /safe/fail
    Then it gets status 500 and the request has run 2 times

  Scenario: A late second answer is not taken for the next request's
    # An upstream answers twice; the second answer lies on the kept connection
    # when the next request is sent there.
    When a caller posts to /unsafe/twice
    And the second answer has come
    And 20 callers post to /unsafe/answer
    Then each of them got its own whole answer

  Scenario: What only this system may set is not taken from a caller
    # A caller that forges another organisation's name would run under it;
    # one that forges a hold would use memory that is set aside for others.
    When a caller forges the headers that the system sets
    Then the upstream saw the system's own and never the caller's key

  Scenario Outline: The gateway refuses <what>
    When the gateway is sent <what>
    Then it gets status <status> and the request has run 0 times

    Examples:
      | what                     | status |
      | an unknown key           | 401    |
      | a path without a route   | 404    |
      | a body beyond the limit  | 413    |

  Scenario: A whole stream is passed on as it is
    When a caller posts to /stream/stream
    Then it gets all 5 events once, in order, and the end

  Scenario: A broken stream that cannot resume does not look complete
    # The upstream dies in the middle of an event.  A body that ended in the
    # regular way would pass for the whole dossier.
    Given upstreams that break off streams after 2 events
    When a caller posts to /stream/break
    Then it gets 2 events and a broken connection

  Scenario: A broken stream that can resume goes on inside the same answer
    Given upstreams that break off streams after 3 events
    When a caller posts to /resumable/break
    Then it gets all 5 events once, in order, and the end

  Scenario: A caller that leaves takes its request along
    # The caller closes its connection while the upstream works; the upstream
    # must see the close, or it works for nobody.
    When a caller leaves while /safe/wait is worked on
    Then the upstream sees the connection close

  @fixture.log_lines
  Scenario: The log of a caller that left says who kept it waiting
    # A caller waits for its whole limit and leaves.  Its engine had gone dark,
    # but no line named it: the request had neither an answer nor a failure.
    When a caller leaves while /safe/wait is worked on
    Then the log says that it waited for the instance that had its request

  Scenario: A request past its time limit is answered at once
    When a caller waits 300 ms for /unsafe/wait
    Then it gets status 504 and the request has run 1 times

  Scenario: An instance that announces its leaving gets no new work
    Given instance u1 announces that it leaves
    When the list has been read
    And 20 callers post to /safe/answer
    Then instance u1 got none of them

  Scenario: An address that another incarnation has taken over runs nothing
    # The list still shows the old incarnation; its address has a new owner.
    Given instance u1 was replaced at its address by another one
    When 10 callers post to /unsafe/answer
    Then each of them got its own whole answer

  Scenario: A configuration comes into force while watches hear nothing
    Given the store leaves watches waiting and drops its history
    When the operators add a route for /new/
    Then the gateway serves /new/answer within its bound

  Scenario: An older configuration never comes back
    When the operators write version 9 and the store then shows version 4
    Then the gateway stays at version 9

  Scenario: A gateway reads the store in one call
    # Each call is counted by the platform, whose rates grow more slowly than
    # the fleet: configuration, instances and members come together.
    When the gateway has read the store 3 times more
    Then it made one call for each, and others only to renew its lease

  Scenario: A value of somebody else that is no text spoils nothing
    # Reading everything meets keys of others, and values may be any bytes.  A
    # gateway that fails on one would miss every change from then on.
    Given another process keeps bytes that are no text in the store
    When the operators add a route for /new/
    Then the gateway serves /new/answer within its bound

  Scenario Outline: The store <fault> and the gateway serves on
    # The store's outage must not be the callers' outage.
    Given a store that <fault>
    When 10 callers post to /safe/answer
    Then each of them got its own whole answer
    And the gateway follows changes again after the fault

    Examples:
      | fault               |
      | refuses every call  |
      | drops every call    |
      | answers no call     |

  Scenario: Entries that lapsed in an outage are not taken for departures
    # While the store was away leases ran out; live upstreams are back in the
    # list within two seconds.  Dropping them at once would empty the pool.
    Given a store that was away and shows no instance when it returns
    When 10 callers post to /safe/answer
    Then each of them got its own whole answer

  Scenario: A planned stop cuts nothing
    # Readiness turns negative at once; what is in flight and what still
    # comes is served, and each answer closes its connection.
    When the gateway is asked to stop while requests come
    Then readiness is negative at once and every request is answered whole

  Scenario: A planned stop lets a stream in flight come to its end
    # A dossier is being written when its gateway is replaced.  Its connection
    # must outlive the drain's quiet periods and close only behind the end.
    When the gateway is asked to stop in the middle of /stream/pause
    And the upstream then goes on
    Then it gets all 5 events once, in order, and the end

  Scenario: A gateway serves after its first read of the store
    # All processes were killed at once.  Each further read that a start
    # needed would add to the time in which nobody is served.
    When another gateway starts and is ready
    Then it has called the store no more than 5 times

  Scenario: Stage work of several callers shares calls, and each gets its own
    # Pieces of different requests are made in one call; a mix-up would give
    # one caller's dossier the custody chain of another bale.
    Given two more gateways and an instance for stage work
    When 12 callers post to /staged/answer through all gateways
    Then each of them got its own whole answer
    And each ran once with all inputs of its own
    And there were fewer calls for pieces than pieces
    And all results are given up

  Scenario: A piece that fails is made again from the same inputs
    # One of many pieces of a late stage fails.  If the results of the stage
    # before were given up when its call began, the second try would find
    # them gone, and with them the work of the whole request.
    Given two more gateways and an instance for stage work
    And calls for pieces take 100 ms
    And the next 3 pieces of a second stage fail
    When 6 callers post to /staged/answer through all gateways
    Then each of them got its own whole answer

  Scenario: The host of a gate dies while it has pieces of others
    # The gateway that fills the calls of a pool is killed; those that asked
    # it hear nothing and must have the pieces made through another.
    Given two more gateways and an instance for stage work
    And calls for pieces take 400 ms
    When the host of the gate is killed while 6 callers wait for pieces
    Then each of them got its own whole answer

  Scenario: A gate changes its host while pieces wait and are worked on
    # The host stops in the regular way.  The new one must not send calls
    # behind those of the old one, and what waited there goes to the new one.
    Given two more gateways and an instance for stage work
    And calls for pieces take 400 ms
    When the host of the gate stops while 12 callers wait for pieces
    Then each of them got its own whole answer
    And the instance never had two calls at a time
    And all results are given up

  Scenario: Results are given up through a gateway that hosts their gate no more
    # Guards against an account of space that counts results as kept which have
    # been given up: a full account keeps every call back until they expire.
    Given two more gateways and an instance for stage work
    When a result in the account of the host is given up through another gateway
    Then it is given up once, and the host counts it no more

  Scenario: A gateway that starts is known to one that is stopping
    # Gateways stop one after the other, and the first is back while the
    # second still serves.  If that one did not know of it, it would host the
    # gates itself, beside the host of all others.
    Given two more gateways and an instance for stage work
    When two gateways stop and another one starts meanwhile
    Then the stopping ones take the new one or the third for the host

  Scenario: A gateway that starts while the store is away refuses, and recovers
    # Without a configuration it cannot know who may call: a 401 would send a
    # proper caller away for good.
    Given a store that drops every call
    When a gateway starts
    Then it is not ready and answers 503
    And it serves by itself once the store is back

  Scenario: After the loss of every gateway all is there again from the store
    Given two more gateways and an instance for stage work
    When all gateways are killed and started again
    Then they serve the newest configuration

  Scenario: All gateways together stay within the retry budget
    # Every upstream fails every request.  If each gateway spent the budget by
    # itself, further attempts would double the load on a failing pool.
    Given two more gateways and an instance for stage work
    When 240 callers post to /safe/fail through all gateways
    Then the pool got no more than 240 requests, a fifth of them and 100 again

  Scenario: A stop that reaches its limit answers what it cannot finish
    # A caller whose request is cut learns nothing.  One that comes late in
    # the stop is sent elsewhere at once; one that waits for an upstream is
    # told, before the process ends, that its request may have run.
    Given a gateway with 5 s between TERM and its end
    When it is asked to stop while a caller waits for /unsafe/wait
    And a stream is asked for late in the stop
    Then the stream was refused as not run and the waiting caller got status 502

  Scenario Outline: A caller that <does> is let go
    # Callers that stop in the middle, by fault or on purpose, would hold a
    # connection and its memory for ever.
    Given a configuration whose limits of time are 300 ms
    When a caller <does>
    Then the gateway ends its connection with status <status>

    Examples:
      | does                           | status |
      | sends half of a head           | 408    |
      | sends half of a body           | 408    |
      | opens a connection and is idle | none   |
      | is idle after an answer        | none   |

  Scenario: A longer idle limit holds for connections that are open already
    # A caller that goes by the new limit sends again on a connection that was
    # opened under the old one.  If the gateway closed it by the old limit, the
    # request would cross the close and be lost.
    Given a configuration whose limits of time are 700 ms
    When a caller has an answer and the limit then grows to 60000 ms
    Then the caller gets an answer on the same connection after the old limit
