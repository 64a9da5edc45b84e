#include "cornelpier/admission/slot_wait.hpp"

#include <algorithm>
#include <functional>

namespace cornelpier {

duration expected_slot_wait(std::vector<duration> remaining, std::uint32_t slots, std::size_t ahead,
                            duration mean_work) {
    // Min-heap of the times at which slots become free; unused slots are free now.
    auto& free_at = remaining;
    while (free_at.size() < slots) {
        free_at.push_back(duration::zero());
    }
    const std::greater<> ends_later{};
    std::ranges::make_heap(free_at, ends_later);

    // With more runs in progress than slots, the first runs to end free no slot.
    for (std::size_t n = free_at.size(); n > slots; --n) {
        std::ranges::pop_heap(free_at, ends_later);
        free_at.pop_back();
    }
    for (std::size_t n = 0; n < ahead; ++n) {
        std::ranges::pop_heap(free_at, ends_later);
        free_at.back() += mean_work;
        std::ranges::push_heap(free_at, ends_later);
    }
    return std::max(free_at.front(), duration::zero());
}

} // namespace cornelpier
