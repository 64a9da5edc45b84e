#include "cornelpier/execution/permit_issuer.hpp"

namespace cornelpier {

permit_status permit_issuer::check(const std::optional<run_permit>& claimed, time_point now) const {
    if (!claimed) {
        return permit_status::missing;
    }
    if (claimed->owner != m_process || claimed->expires_at > now + permit_lifetime) {
        return permit_status::not_issued;
    }
    return claimed->expires_at > now ? permit_status::valid : permit_status::expired;
}

} // namespace cornelpier
