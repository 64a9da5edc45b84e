#pragma once

#include "tests/process/support/http_call.hpp"
#include "tests/process/support/sidecar_pair.hpp"
#include "tests/standins/http_service.hpp"

#include <cstddef>
#include <string>

namespace cornelpier::test {

/// Store, one server and two sidecars on loopback: the server belongs to the owner, and callers send to the
/// entry. The destructor ends all of them.
///
/// Requests under `/u/` are answered with a description of their body, those under `/d/SIZE` with a body of
/// that size.
class upload_fleet {
  public:
    static constexpr int entry = 0;
    static constexpr int owner = 1;

    /// @param max_body_bytes limit in the manifest.
    explicit upload_fleet(std::size_t max_body_bytes);
    ~upload_fleet() { m_nodes.stop(); }

    upload_fleet(const upload_fleet&) = delete;
    upload_fleet& operator=(const upload_fleet&) = delete;
    upload_fleet(upload_fleet&&) = delete;
    upload_fleet& operator=(upload_fleet&&) = delete;

    /// Waits until the entry serves a request.
    /// @return false after 10 s.
    static bool wait_until_serving();

    /// Sends a request to the entry.
    static http_response call(const std::string& bytes);

    /// @return the fields that each request needs, with a new id.
    static std::string fields();

    /// @return the response to a request with this body.
    static std::string describe(const std::string& body);

    /// @return the largest memory that a node has occupied, in bytes.
    [[nodiscard]] std::size_t peak_resident_bytes(int vm) const;

    /// @return the value of a metric without labels.
    static std::string metric(int vm, const std::string& name);

  private:
    sidecar_pair m_nodes;
    standins::http_service m_server;
};

} // namespace cornelpier::test
