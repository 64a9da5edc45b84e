#include "tests/plan_check/support/check_run.hpp"

#include "platform/check_formats.hpp"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace cornelpier::test {

namespace {

/// Collects what is written to a stream.
class captured_stream {
  public:
    explicit captured_stream(std::ostream& stream)
        : m_stream(stream), m_previous(stream.rdbuf(m_text.rdbuf())) {}
    ~captured_stream() { m_stream.rdbuf(m_previous); }

    captured_stream(const captured_stream&) = delete;
    captured_stream& operator=(const captured_stream&) = delete;
    captured_stream(captured_stream&&) = delete;
    captured_stream& operator=(captured_stream&&) = delete;

    [[nodiscard]] std::string text() const { return m_text.str(); }

  private:
    std::ostream& m_stream;
    std::ostringstream m_text;
    std::streambuf* m_previous;
};

} // namespace

check_output run_check(const std::vector<std::string>& arguments) {
    std::vector<const char*> words{"cornelpier-plan"};
    for (const auto& it : arguments) {
        words.push_back(it.c_str());
    }
    const captured_stream out(std::cout);
    const captured_stream err(std::cerr);
    const int status =
        run_plan_check(static_cast<int>(words.size()), words.data(), platform::check_formats());
    return {status, out.text(), err.text()};
}

std::string case_path(const std::string& name) {
    return std::string{CORNELPIER_SOURCE_DIR} + "/tests/plan_check/cases/" + name;
}

std::string read_case(const std::string& name) {
    std::ifstream file(case_path(name), std::ios::binary);
    if (!file) {
        throw std::runtime_error(case_path(name) + ": cannot be read");
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

temporary_file::temporary_file(const std::string& content)
    : m_path((std::filesystem::temp_directory_path() / "cornelpier-plan-check-XXXXXX").string()) {
    const int descriptor = mkstemp(m_path.data());
    if (descriptor < 0) {
        throw std::runtime_error("no temporary file");
    }
    close(descriptor);
    std::ofstream{m_path, std::ios::binary} << content;
}

temporary_file::~temporary_file() {
    std::error_code ignored;
    std::filesystem::remove(m_path, ignored);
}

} // namespace cornelpier::test
