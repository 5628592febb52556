Feature: Evidence against requests that crash instances is weighed

  Scenario: Harmless requests that ran during a crash are served again
    # Guards against a decision by crashes alone: every request that runs on an
    # instance when it crashes has been in a crash, and most are harmless.
    Given a request that was running in 1 crashes
    When it succeeds and is running in 1 further crashes
    Then it is not quarantined

  Scenario: A quarantine expires, and one more crash makes a longer one
    # Guards against a false suspicion that stays permanently, and against the
    # loss of an instance each time a justified quarantine expires.
    Given a request that was running in 2 crashes
    Then it is quarantined for 300 seconds
    When that time has passed
    Then it is not quarantined
    When it is running in 1 further crashes
    Then it is quarantined for 600 seconds

  Scenario: Gateways that receive evidence in any order agree
    # Guards against a gateway that admits a request which others quarantine,
    # because a message was lost, came twice or overtook another.
    Then any exchange of any evidence ends in the same quarantine decision of all gateways

  Scenario: A report comes again by a faster way
    # Guards against gateways that go on sending each other evidence, since each way dates a crash differently.
    Given a report of a crash that came after 20 ms
    When the same report comes after 5 ms
    Then there is nothing new to send

  Scenario: A gateway that restarts receives all evidence
    # Guards against a gateway that knows of no quarantine after its start and
    # sends requests that all others hold back.
    Given a gateway that knows of 300 requests that are quarantined
    When a gateway asks it 3 times, starts again and asks 3 times
    Then it quarantines 300 requests

  Scenario: Memory for evidence is bounded, and a quarantine is dropped last
    # Guards against callers that fill the memory with requests that ran during
    # a crash until a harmful request is forgotten.
    Given a memory for 10 requests, one of which is quarantined
    When 50 others have been running in a crash
    Then 10 are remembered, and the one is still quarantined

  Scenario: Old crashes are forgotten
    # Guards against memory that grows with each crash during which a popular
    # request ran, for as long as the request is popular.
    Given a request that was running in 1 crashes
    When it succeeds and is running in 1 further crashes
    And 3 hours have passed and another request was running in a crash
    Then only that request is remembered

  Scenario Outline: A connection breaks at an instance that <state>
    # Guards against taking a truncated response, a reset link or a planned stop
    # for a crash: harmless requests would be quarantined.
    When a request loses its connection to an instance that <state>
    Then the request has been in <crashes> crashes

    Examples:
      | state                   | crashes |
      | listens                 | 0       |
      | has ended               | 1       |
      | has ended after leaving | 0       |

  Scenario: Requests of different organisations are never the same work
    # Guards against an organisation whose requests get those of a competitor
    # quarantined.
    Then requests are the same work only with one organisation, target and body

  Scenario Outline: Harmful requests reach a fleet: <pattern>
    # Guards against a limit that loses instances or refuses harmless callers:
    # the users allow three instances for each harmful request.
    When the fleet is simulated with <pattern>
    Then it loses at most 3 instances for each harmful request
    And it refuses at most 1 in 100 harmless requests

    Examples:
      | pattern                 |
      | one harmful request     |
      | three harmful requests  |
      | a hot harmless request  |
      | crashes by chance alone |

  Scenario Outline: Harmful prompt parts reach a fleet: <pattern>
    # Guards against a part that crashes engines in ever new requests, and against refusing the templates and documents beside it.
    When the fleet is simulated with <pattern>
    Then no more than 3 requests with a harmful part are sent 3 seconds after its fifth crash
    And it refuses at most 1 in 100 harmless requests

    Examples:
      | pattern                               |
      | one harmful part                      |
      | a harmful part from the start         |
      | a harmful part in many requests       |
      | two harmful parts                     |
      | a harmful part and crashes by chance  |

  Scenario: An outage ends many instances with a template at once
    # Guards against blaming a template that ran on every instance for the outage that ended them.
    Given a template and 10 instances that run it
    When all of them end within 200 milliseconds
    Then the template is not quarantined

  Scenario: One request is sent again and again
    # Guards against refusing the documents of a single harmful request, which other callers use too.
    When a request with a new document crashes 4 instances
    Then the request is quarantined and its document is not

  Scenario: A template had no success before a part crashed instances
    # Guards against refusing what the harmful requests had in common as well.
    When 3 different requests with a new template and a harmful part crash an instance each
    Then requests with both are refused, and those with one of them alone are not

  Scenario: A further crash makes a quarantine longer
    # Guards against a record in the store that ends before the quarantine: only the first end of it was written.
    When 3 different requests with a new template and a harmful part crash an instance each
    Then a quarantine is announced
    When an instance crashes with another request
    Then no quarantine is announced
    When a further request with a new template and a harmful part crashes an instance
    Then a quarantine is announced

  Scenario: A request runs beside a harmful part twice
    # Guards against refusing a harmless request for crashes that a part explains.
    When 3 different requests with a harmful part crash an instance each, and a harmless one runs beside two of them
    Then the harmful part is quarantined and the harmless request is not

  Scenario: A template that has succeeded is in every crash of a harmful part
    # Guards against blaming a template for the crashes of a part that all requests in them had as well.
    Given a template that has succeeded
    When 4 different requests with it and a harmful part crash an instance each
    Then only the harmful part is quarantined

  Scenario: A template that has succeeded is in every crash of a short series
    # Guards against one more crash of a harmful part being enough to refuse its template.
    Given a template that has succeeded
    When 3 different requests with it alone crash an instance each
    Then the template is not quarantined
    When 1 different requests with it alone crash an instance each
    Then the template is quarantined for 30 seconds

  Scenario: A harmful part stands behind many others
    # Guards against a part that is judged only near the start of a prompt.
    When 3 different requests with 200 parts of their own before a harmful one crash an instance each
    Then requests with the late part are refused

  Scenario: Parts are invented while a harmful one is under suspicion
    # Guards against evidence that callers push out of the memory with parts that they make up.
    When 2 different requests with a harmful part crash an instance each
    And 100 requests with 60 invented parts each run in a later crash
    And 1 different requests with a harmful part crash an instance each
    Then requests with the harmful part are refused

  Scenario: Parts are invented while a template is in use
    # Guards against callers that make a template look like a part that has never succeeded.
    Given a template that has succeeded 10 times
    When 5000 invented parts have succeeded once each
    And 3 different requests with it alone crash an instance each
    Then the template is not quarantined

  Scenario: A template ran in later requests than a harmful part
    # Guards against blaming a new template since its crashes count more often than those of the part.
    When 3 instances end within 300 milliseconds, and requests sent in between had the template of the harmful ones
    Then requests with the template alone are served

  Scenario: A new document runs beside a harmful part
    # Guards against refusing a document for crashes that a part explains.
    When 4 different requests with a harmful part crash an instance each, and a new document runs beside three of them
    Then the harmful part is quarantined and the document is not

  Scenario: A retry crashes the next instance at once
    # Guards against taking the crash of a retry and the one before it for one outage.
    When a request with a harmful part and its retry crash instances 100 milliseconds apart, and another request one more
    Then requests with the harmful part are refused
