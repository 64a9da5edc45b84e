#pragma once

#include <string>
#include <vector>

namespace cornelpier::test {

/// What the program that checks plans printed, and its exit status.
struct check_output {
    int status = 0;
    std::string text;   ///< Standard output.
    std::string errors; ///< Standard error.
};

/// Runs the main function of `cornelpier-plan` in this process. Not thread-safe.
/// @param arguments without the name of the program.
check_output run_check(const std::vector<std::string>& arguments);

/// @return path of a file of the test cases.
std::string case_path(const std::string& name);

/// @return content of a file of the test cases.
std::string read_case(const std::string& name);

/// A file that exists as long as the object.
class temporary_file {
  public:
    explicit temporary_file(const std::string& content);
    ~temporary_file();

    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    temporary_file(temporary_file&&) = delete;
    temporary_file& operator=(temporary_file&&) = delete;

    [[nodiscard]] const std::string& path() const { return m_path; }

  private:
    std::string m_path;
};

} // namespace cornelpier::test
