@each.gateway_process
Feature: The exit of a process that stops

  Scenario: A caller sends a request while the stopping process leaves the store
    # Guards against requests that a process accepts after it has decided to
    # exit: they run at an upstream, and their callers get no response.
    When a gateway process stops, and the store is slow to remove its record
    And a request is sent on a connection that has stayed open
    Then the request has not run, or its caller got the complete response

  Scenario: A caller is still reading its response when nothing else is in flight
    # Guards against responses that count as delivered while they wait in the
    # buffers of the process, and are lost at its exit.
    When a gateway process stops while a caller reads a large response slowly
    Then the caller got the complete response before the process ended
