#pragma once

#include <chrono>
#include <functional>
#include <thread>

namespace cornelpier::test {

/// Polls a condition every 20 ms.
/// @return whether it became true within the time limit.
inline bool becomes_true(std::chrono::milliseconds limit, const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return false;
}

} // namespace cornelpier::test
