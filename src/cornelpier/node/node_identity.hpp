#pragma once

#include "cornelpier/base/ids.hpp"

#include <string>
#include <vector>

namespace cornelpier {

/// A node to contact while no plan is known.
struct seed_peer {
    target_id id;
    std::string address; ///< `IP:port`.
};

/// Identity and placement of a node, with its seed peers.
struct node_identity {
    target_id self;
    incarnation process;
    vm_id vm;
    data_centre_id data_centre;
    service_id service;
    std::vector<seed_peer> seeds;
};

} // namespace cornelpier
