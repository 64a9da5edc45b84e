#pragma once

#include "cornelpier/base/ids.hpp"

#include <string>
#include <vector>

namespace cornelpier {

/// A node to contact before a plan is known.
struct seed_peer {
    target_id id;
    std::string address; ///< `IP:port`.
};

/// Who a node is.
struct node_identity {
    target_id self;
    incarnation process;
    vm_id vm;
    data_centre_id data_centre;
    service_id service;
    std::vector<seed_peer> seeds;
};

} // namespace cornelpier
