#include "cornelpier/message/codec.hpp"

#include "cornelpier/message/cbor_reader.hpp"
#include "cornelpier/message/message_fields.hpp"
#include "cornelpier/validation/field_syntax.hpp"
#include "cornelpier/validation/response_status.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <type_traits>

namespace cornelpier {

namespace {

using nlohmann::json;

/// Thrown while a message is decoded; `decode_stamped` converts it to an error.
class decode_error : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

template <typename Number>
requires std::is_integral_v<Number> json write(Number value) {
    if constexpr (std::is_same_v<Number, bool>) {
        return std::uint64_t{value};
    } else {
        return value;
    }
}

json write(const std::string& value) {
    return json::binary({value.begin(), value.end()});
}

json write(const shared_body& value) {
    return write(*value);
}

json write(duration value) {
    return value.count();
}

json write(rate value) {
    return value.per_second;
}

json write(time_point value) {
    return value.time_since_epoch().count();
}

template <typename Tag, typename Value>
json write(const strong_id<Tag, Value>& value) {
    return write(value.value());
}

template <typename Enum>
requires std::is_enum_v<Enum> json write(Enum value) {
    return static_cast<std::uint64_t>(value);
}

template <typename T>
json write(const std::vector<T>& values);

template <typename T>
json write(const std::optional<T>& value);

template <typename First, typename Second>
json write(const std::pair<First, Second>& value) {
    return json::array({write(value.first), write(value.second)});
}

template <typename Message>
requires has_message_fields<Message> json write(const Message& message) {
    json result = json::array();
    for_each_field(message, [&](const auto& field) { result.push_back(write(field)); });
    return result;
}

template <typename T>
json write(const std::vector<T>& values) {
    json result = json::array();
    for (const auto& it : values) {
        result.push_back(write(it));
    }
    return result;
}

template <typename T>
json write(const std::optional<T>& value) {
    return value ? json::array({write(*value)}) : json::array();
}

void read(const json& item, std::uint64_t& value) {
    if (!item.is_number_unsigned()) {
        throw decode_error("expected an unsigned integer");
    }
    value = item.get<std::uint64_t>();
}

void read(const json& item, std::uint32_t& value) {
    std::uint64_t wide = 0;
    read(item, wide);
    if (wide > std::numeric_limits<std::uint32_t>::max()) {
        throw decode_error("integer exceeds 32 bits");
    }
    value = static_cast<std::uint32_t>(wide);
}

void read(const json& item, int& value) {
    if (!item.is_number_integer()) {
        throw decode_error("expected an integer");
    }
    value = item.get<int>();
}

void read(const json& item, bool& value) {
    std::uint64_t wide = 0;
    read(item, wide);
    value = wide != 0;
}

void read(const json& item, std::string& value) {
    if (!item.is_binary()) {
        throw decode_error("expected a byte string");
    }
    const auto& bytes = item.get_binary();
    value.assign(bytes.begin(), bytes.end());
}

void read(const json& item, shared_body& value) {
    std::string text;
    read(item, text);
    value = make_body(std::move(text));
}

void read(const json& item, duration& value) {
    if (!item.is_number_integer()) {
        throw decode_error("expected a number of microseconds");
    }
    value = duration{item.get<std::int64_t>()};
}

void read(const json& item, rate& value) {
    if (!item.is_number_float() || !std::isfinite(item.get<double>()) || item.get<double>() < 0) {
        throw decode_error("expected a finite rate that is not negative");
    }
    value.per_second = item.get<double>();
}

void read(const json& item, time_point& value) {
    duration since_epoch{};
    read(item, since_epoch);
    value = time_point{since_epoch};
}

template <typename Tag, typename Value>
void read(const json& item, strong_id<Tag, Value>& id) {
    Value value{};
    read(item, value);
    id = strong_id<Tag, Value>{std::move(value)};
}

template <typename Enum>
requires std::is_enum_v<Enum>
void read(const json& item, Enum& value) {
    std::uint64_t wide = 0;
    read(item, wide);
    if (wide > static_cast<std::uint64_t>(max_enumerator(Enum{}))) {
        throw decode_error("enumeration value out of range");
    }
    value = static_cast<Enum>(wide);
}

template <typename T>
void read(const json& item, std::vector<T>& values);

template <typename T>
void read(const json& item, std::optional<T>& value);

void expect_array(const json& item, std::size_t size) {
    if (!item.is_array() || item.size() != size) {
        throw decode_error("expected an array of " + std::to_string(size) + " elements");
    }
}

template <typename First, typename Second>
void read(const json& item, std::pair<First, Second>& value) {
    expect_array(item, 2);
    read(item[0], value.first);
    read(item[1], value.second);
}

template <typename Message>
void validate(const Message& /*message*/) {}

/// The response is written to a caller, who would take other bytes for another response.
void validate(const http_response& response) {
    if (kind_of_status(response.status) != status_kind::final) {
        throw decode_error("a response with an invalid status");
    }
    for (const auto& [name, value] : response.fields) {
        if (!is_token(name) || !is_field_value(value)) {
            throw decode_error("a response with an invalid field");
        }
    }
}

template <typename Message>
requires has_message_fields<Message>
void read(const json& item, Message& message) {
    std::size_t count = 0;
    for_each_field(message, [&](const auto& /*field*/) { ++count; });
    expect_array(item, count);

    std::size_t n = 0;
    for_each_field(message, [&](auto& field) { read(item[n++], field); });
    validate(message);
}

template <typename T>
void read(const json& item, std::vector<T>& values) {
    if (!item.is_array()) {
        throw decode_error("expected an array");
    }
    values.clear();
    for (const auto& it : item) {
        read(it, values.emplace_back());
    }
}

template <typename T>
void read(const json& item, std::optional<T>& value) {
    if (!item.is_array() || item.size() > 1) {
        throw decode_error("expected an array of at most 1 element");
    }
    value.reset();
    if (!item.empty()) {
        read(item[0], value.emplace());
    }
}

enum class message_kind : std::uint8_t { traffic, control };

template <typename Variant>
std::string encode_variant(message_kind kind, const Variant& message, hybrid_timestamp stamp) {
    json item = json::array({static_cast<std::uint64_t>(kind), std::uint64_t{message.index()}});
    std::visit([&](const auto& it) { item.push_back(write(it)); }, message);
    item.push_back(stamp.value());

    std::string buf;
    json::to_cbor(item, buf);
    return buf;
}

template <typename Variant, std::size_t Index = 0>
Variant read_alternative(std::uint64_t index, const json& item) {
    if constexpr (Index == std::variant_size_v<Variant>) {
        throw decode_error("unknown message type");
    } else {
        if (index != Index) {
            return read_alternative<Variant, Index + 1>(index, item);
        }
        std::variant_alternative_t<Index, Variant> message;
        read(item, message);
        return message;
    }
}

node_message decode_item(const json& item) {
    expect_array(item, 4);
    std::uint64_t kind = 0;
    std::uint64_t index = 0;
    read(item[0], kind);
    read(item[1], index);

    if (kind == static_cast<std::uint64_t>(message_kind::traffic)) {
        return read_alternative<traffic_message>(index, item[2]);
    }
    if (kind == static_cast<std::uint64_t>(message_kind::control)) {
        return read_alternative<control_message>(index, item[2]);
    }
    throw decode_error("unknown message kind");
}

} // namespace

std::string encode(const traffic_message& message, hybrid_timestamp stamp) {
    return encode_variant(message_kind::traffic, message, stamp);
}

std::string encode(const control_message& message, hybrid_timestamp stamp) {
    return encode_variant(message_kind::control, message, stamp);
}

result<node_message> decode(std::string_view bytes) {
    auto outcome = decode_stamped(bytes);
    if (auto* stamped = std::get_if<stamped_message>(&outcome)) {
        return std::move(stamped->message);
    }
    return std::get<error>(std::move(outcome));
}

result<stamped_message> decode_stamped(std::string_view bytes) {
    const json item = read_cbor(bytes);
    if (item.is_discarded()) {
        return error{"", "expected exactly one CBOR item"};
    }

    try {
        stamped_message stamped{decode_item(item), {}};
        read(item[3], stamped.stamp);
        return stamped;
    } catch (const decode_error& problem) {
        return error{"", problem.what()};
    }
}

} // namespace cornelpier
