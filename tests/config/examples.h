#ifndef RAGWORTPIN_TESTS_CONFIG_EXAMPLES_H
#define RAGWORTPIN_TESTS_CONFIG_EXAMPLES_H

#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace ragwortpin::testing {

/** Finds the examples folder above the working folder, from which build/test_X and ctest both run. */
inline std::filesystem::path examplesFolder()
{
    for (auto folder = std::filesystem::current_path(); !folder.empty(); folder = folder.parent_path()) {
        if (std::filesystem::exists(folder / "examples" / "khelachitra")) {
            return folder / "examples";
        }
        if (folder == folder.parent_path()) {
            break;
        }
    }
    throw std::runtime_error{"run the tests within the source folder"};
}

/** Reads an example as text. */
inline std::string readExample(const std::string &name)
{
    std::ifstream input{examplesFolder() / name};
    if (!input) {
        throw std::runtime_error{"no example " + name};
    }
    return {std::istreambuf_iterator<char>{input}, {}};
}

/** Examples that have to be valid. */
inline const std::string ExampleNames[]{
    "khelachitra/configuration.yaml", "khelachitra/demo-configuration.yaml", "confetti-cove/configuration.yaml"};

} // namespace ragwortpin::testing

#endif
