#pragma once

#include "daemon/net/body_growth.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace cornelpier {

/// Body type of Beast for messages that are received. Unlike `http::string_body`, it does not reserve the
/// announced length at once; see `reserve_for_append`.
struct incremental_body {
    using value_type = std::string;

    /// Body reader as required by Beast.
    class reader {
      public:
        template <bool IsRequest, typename Fields>
        reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& body) : m_body(body) {}

        void init(const boost::optional<std::uint64_t>& length, boost::system::error_code& ec) {
            m_expected = length ? static_cast<std::size_t>(*length) : std::string::npos;
            ec = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& ec) {
            const std::size_t size = boost::asio::buffer_size(buffers);
            reserve_for_append(m_body, size, m_expected);
            for (const auto it : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char*>(it.data()), it.size());
            }
            ec = {};
            return size;
        }

        static void finish(boost::system::error_code& ec) { ec = {}; }

      private:
        value_type& m_body;
        std::size_t m_expected = std::string::npos;
    };
};

} // namespace cornelpier
