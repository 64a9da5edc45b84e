# Virtual-time fleet of real cores with fake network, servers, callers and platform.
file(GLOB support_sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/support/*.cpp)
add_library(cornelpier_test_support STATIC ${support_sources} schedules/checker.cpp)
target_include_directories(cornelpier_test_support PUBLIC ${PROJECT_SOURCE_DIR})
target_link_libraries(cornelpier_test_support PUBLIC cornelpier PRIVATE cornelpier_options nlohmann_json::nlohmann_json)

add_executable(cornelpier-scenario-tests scenario/scenario_tests.cpp scenario/scenario_parser.cpp scenario/scenario_runner.cpp)
target_compile_definitions(cornelpier-scenario-tests PRIVATE CORNELPIER_SCENARIOS="${CMAKE_CURRENT_SOURCE_DIR}/scenarios")
target_link_libraries(cornelpier-scenario-tests PRIVATE cornelpier_test_support cornelpier_options)
add_test(NAME scenario-language COMMAND cornelpier-scenario-tests "~each scenario*")
file(GLOB scenarios CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/scenarios/*.scenario)
foreach(scenario ${scenarios})
  get_filename_component(name ${scenario} NAME_WE)
  add_test(NAME scenario-${name} COMMAND cornelpier-scenario-tests "each scenario*" -c ${name})
endforeach()

# Fleets whose servers limit the rate of their requests or say that they leave.
file(GLOB server_advice_tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/server_advice/*.cpp)
add_executable(cornelpier-server-advice-tests main.cpp ${server_advice_tests})
target_link_libraries(cornelpier-server-advice-tests PRIVATE cornelpier_test_support cornelpier_options)
add_test(NAME server-rate-limit COMMAND cornelpier-server-advice-tests "[rate-limit]")
add_test(NAME server-leaving COMMAND cornelpier-server-advice-tests "[leaving]")

# Fleets of data centres with too few servers for their callers.
add_executable(cornelpier-locality-tests main.cpp locality/locality_test.cpp)
target_link_libraries(cornelpier-locality-tests PRIVATE cornelpier_test_support cornelpier_options)
add_test(NAME locality COMMAND cornelpier-locality-tests)

# Fleets whose servers end while they run requests.
file(GLOB server_crash_tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/server_crashes/*.cpp)
add_executable(cornelpier-server-crash-tests main.cpp ${server_crash_tests})
target_link_libraries(cornelpier-server-crash-tests PRIVATE cornelpier_test_support cornelpier_options)
add_test(NAME server-crashes COMMAND cornelpier-server-crash-tests)

add_executable(cornelpier-schedule-tests schedules/schedule_tests.cpp schedules/random_schedule.cpp)
target_link_libraries(cornelpier-schedule-tests PRIVATE cornelpier_test_support cornelpier_options Threads::Threads)
add_test(NAME schedules COMMAND cornelpier-schedule-tests)
