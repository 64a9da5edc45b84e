#include "cornelpier/validation/json_validator.hpp"

#include "cornelpier/validation/nearest_word.hpp"
#include "cornelpier/validation/nesting.hpp"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace cornelpier {

namespace {

using nlohmann::json;

std::string escaped(std::string_view key) {
    std::string result;
    for (const char it : key) {
        if (it == '~') {
            result += "~0";
        } else if (it == '/') {
            result += "~1";
        } else {
            result += it;
        }
    }
    return result;
}

/// Converts a valijson context (`<root>`, `[key]`, `[0]`) to a JSON pointer.
std::string pointer_of(const std::vector<std::string>& context) {
    std::string result;
    for (const auto& it : context) {
        if (it.starts_with('[') && it.ends_with(']')) {
            result += "/" + escaped(std::string_view{it}.substr(1, it.size() - 2));
        }
    }
    return result;
}

/// @return the subschema of the value at the context, or nullptr.
const json* schema_at(const json& schema, const std::vector<std::string>& context) {
    const json* node = &schema;
    for (const auto& it : context) {
        if (!it.starts_with('[')) {
            continue;
        }
        const std::string key = it.substr(1, it.size() - 2);
        if (node->contains("items")) {
            node = &node->at("items");
        } else if (node->contains("properties") && node->at("properties").contains(key)) {
            node = &node->at("properties").at(key);
        } else {
            return nullptr;
        }
    }
    return node;
}

std::string describe_enumeration(const json& values) {
    std::string result = "expected one of ";
    for (std::size_t n = 0; n < values.size(); ++n) {
        result += (n == 0 ? "" : ", ") + values[n].get<std::string>();
    }
    return result;
}

std::string lower_first(std::string text) {
    if (!text.empty() && text.front() >= 'A' && text.front() <= 'Z') {
        text.front() = static_cast<char>(text.front() - 'A' + 'a');
    }
    while (text.ends_with('.')) {
        text.pop_back();
    }
    return text;
}

std::string short_number(double value) {
    std::string text = json(value).dump();
    return text.ends_with(".0") ? text.substr(0, text.size() - 2) : text;
}

/// Converts valijson's description to a message that names the limits and values of the schema.
std::string reason_of(const std::string& description, const json* node) {
    if (node != nullptr && node->contains("type") && description.starts_with("Value type")) {
        return "expected " + node->at("type").get<std::string>();
    }
    if (node != nullptr && node->contains("enum") && description.starts_with("Failed to match against")) {
        return describe_enumeration(node->at("enum"));
    }
    if (node != nullptr && node->contains("minimum") && description.starts_with("Expected number greater")) {
        return "expected at least " + short_number(node->at("minimum").get<double>());
    }
    if (node != nullptr && node->contains("maximum") && description.starts_with("Expected number less")) {
        return "expected at most " + short_number(node->at("maximum").get<double>());
    }
    if (node != nullptr && node->contains("minLength") &&
        description.starts_with("String should be no fewer")) {
        return "must not be empty";
    }
    return lower_first(description);
}

/// valijson repeats an error for each enclosing value. Unknown keys are reported by `add_unknown_keys`, so
/// its report of them is dropped too.
bool is_repetition(const std::string& description) {
    return description.starts_with("Failed to validate item") ||
           description.starts_with("Failed to validate against schema associated") ||
           description.starts_with("Object contains a property that could not be validated");
}

void add_schema_errors(const json& document, const json& schema_document, std::size_t max_errors,
                       std::vector<error>& errors) {
    valijson::Schema schema;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_document), schema);

    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(document), &results)) {
        return;
    }

    for (const auto& it : results) {
        if (errors.size() == max_errors) {
            return;
        }
        if (!is_repetition(it.description)) {
            errors.push_back(
                {pointer_of(it.context), reason_of(it.description, schema_at(schema_document, it.context))});
        }
    }
}

void add_unknown_keys(const json& value, const json& schema, const std::string& place, std::size_t max_errors,
                      std::vector<error>& errors);

void add_unknown_keys_of_object(const json& value, const json& properties, const std::string& place,
                                std::size_t max_errors, std::vector<error>& errors) {
    std::vector<std::string> known;
    for (const auto& it : properties.items()) {
        known.push_back(it.key());
    }

    for (const auto& [key, member] : value.items()) {
        if (errors.size() == max_errors) {
            return;
        }
        const std::string member_place = place + "/" + escaped(key);
        if (properties.contains(key)) {
            add_unknown_keys(member, properties.at(key), member_place, max_errors, errors);
        } else {
            errors.push_back({member_place, std::string{unknown_key_reason} + "; the nearest known key is " +
                                                nearest_word(key, known)});
        }
    }
}

void add_unknown_keys(const json& value, const json& schema, const std::string& place, std::size_t max_errors,
                      std::vector<error>& errors) {
    if (value.is_object() && schema.contains("properties")) {
        add_unknown_keys_of_object(value, schema.at("properties"), place, max_errors, errors);
        return;
    }
    if (!value.is_array() || !schema.contains("items")) {
        return;
    }
    for (std::size_t n = 0; n < value.size(); ++n) {
        add_unknown_keys(value[n], schema.at("items"), place + "/" + std::to_string(n), max_errors, errors);
    }
}

/// @return line and column of a byte position, both 1-based.
std::string line_and_column(std::string_view text, std::size_t position) {
    const auto before = text.substr(0, position == 0 ? 0 : position - 1);
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const auto start = before.rfind('\n');
    const auto column = start == std::string_view::npos ? before.size() + 1 : before.size() - start;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

} // namespace

result<json> parse_json(std::string_view text) {
    if (is_json_too_deep(text)) {
        return error{"", "nested deeper than " + std::to_string(max_nesting) + " levels"};
    }
    try {
        return json::parse(text.begin(), text.end());
    } catch (const json::parse_error& problem) {
        return error{line_and_column(text, problem.byte), "not valid JSON"};
    } catch (const json::out_of_range&) {
        return error{"", "a number is out of range"};
    }
}

json read_json(std::string_view text) {
    if (is_json_too_deep(text)) {
        json nothing = json::value_t::discarded;
        return nothing;
    }
    return json::parse(text, nullptr, false);
}

std::vector<error> validate_json(const json& document, std::string_view schema_text, std::size_t max_errors) {
    const json schema = json::parse(schema_text);
    std::vector<error> errors;
    add_unknown_keys(document, schema, "", max_errors, errors);
    add_schema_errors(document, schema, max_errors, errors);
    return errors;
}

} // namespace cornelpier
