#pragma once

#include <chrono>
#include <functional>
#include <thread>

namespace cornelpier::test {

/// @return whether a condition holds within the time; it is tried every 20 ms.
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
