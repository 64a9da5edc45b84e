#include "tests/daemon/support/resident_bytes.hpp"

#include <fstream>
#include <unistd.h>

namespace cornelpier::test {

std::size_t resident_bytes() {
    std::ifstream file("/proc/self/statm");
    std::size_t all_pages = 0;
    std::size_t resident_pages = 0;
    file >> all_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace cornelpier::test
