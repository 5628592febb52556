Feature: Fleets that run at the same time do not take each other's ports

  Scenario: Two fleets that choose ports alike get different ones
    # Guards against a process that cannot start since another fleet chose its
    # port before it listened there.
    When two fleets reserve ports in the same random order
    Then no port is reserved twice

  Scenario: A process that is down keeps its port
    # Guards against a process that cannot start again after a kill, so that its
    # keys have no owner or its engine no models.
    Given a process that listens on a reserved port
    When it is killed
    Then another fleet cannot reserve its port
    And it can listen there again

  Scenario: A fleet that has ended returns its ports
    # Guards against a range of ports that runs out.
    When a fleet releases its ports
    Then another fleet can reserve them
