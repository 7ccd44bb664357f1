Feature: Endpoints come when they are needed and go without harm

  Scenario: A surplus endpoint is stopped once its work has ended
    Given 3 instances that give endpoints back after 8 s
    And bounds for coach of 1 to 6, safe 1
    And engines engine-1 in zone-1 and engine-2 in zone-2
    And reclaimable engine engine-3 in zone-3
    And the engines make a token in 20 ms
    When lookups of coach go on at every instance
    Then the platform gets 2 orders to stop, one for engine-3
    And nothing ran on them when they were to stop, or came after
    And a safe engine goes on, and every lookup has its whole answer

  Scenario: A model without endpoints gets one when it is asked for
    Given 3 instances that give endpoints back after 8 s
    And bounds for coach of 0 to 6, safe 0
    When tesfaye asks for coach at i2 until an endpoint is ordered
    And the platform starts what was ordered
    Then tesfaye has an answer of coach at i2
