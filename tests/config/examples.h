#ifndef RAGWORTPIN_TESTS_CONFIG_EXAMPLES_H
#define RAGWORTPIN_TESTS_CONFIG_EXAMPLES_H

#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace ragwortpin::testing {

/** Returns the examples folder in the nearest parent of the working folder, so that tests run both directly from build/ and by ctest. */
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
    throw std::runtime_error{"no examples folder above the working folder; run the tests within the source tree"};
}

/** Returns the content of an example file, named relative to the examples folder. */
inline std::string readExample(const std::string &name)
{
    std::ifstream input{examplesFolder() / name};
    if (!input) {
        throw std::runtime_error{"cannot read example " + name};
    }
    return {std::istreambuf_iterator<char>{input}, {}};
}

/** Example configurations, which must be valid. */
inline const std::string ExampleNames[]{
    "khelachitra/configuration.yaml", "khelachitra/demo-configuration.yaml", "confetti-cove/configuration.yaml"};

} // namespace ragwortpin::testing

#endif
