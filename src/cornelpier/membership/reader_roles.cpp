#include "cornelpier/membership/reader_roles.hpp"

#include "cornelpier/base/hash.hpp"

#include <algorithm>

namespace cornelpier {

void reader_roles::set_members(const data_centre_id& group, std::vector<target_id> members) {
    if (std::ranges::find(members, m_self) == members.end()) {
        // The others do not know this node and tell it nothing.
        m_reader = false;
        return;
    }
    std::ranges::sort(members, std::ranges::greater{}, [&](const target_id& it) {
        return std::pair{rendezvous_score(group.value(), it.value()), it};
    });
    const std::size_t readers = members.size() >= size_for_two ? 2 : 1;
    members.resize(std::min(members.size(), readers));
    m_reader = std::ranges::find(members, m_self) != members.end();
}

} // namespace cornelpier
