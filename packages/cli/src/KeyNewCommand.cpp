#include "toucanstep/base/Digest.h"
#include "toucanstep/cli/Command.h"

#include <nlohmann/json.hpp>

namespace toucanstep::cli {

namespace {

// 256 random bits.
constexpr size_t keyBytes = 32;
constexpr std::string_view keyPrefix = "ts-";

class KeyNewCommand final : public Command {
public:
    std::string name() const override { return "key new"; }
    std::string summary() const override { return "Make a key: prints it once, with the line that goes into the text."; }
    std::string example() const override { return "toucanstep key new --account savanne-cooperative --note \"weighbridge office\""; }
    std::vector<ExitStatus> exitStatuses() const override
    {
        return {
            { exitGood, "a key was printed" },
            { exitUnusable, "the command line is wrong" },
        };
    }

    void declare(Syntax& syntax) const override
    {
        syntax.addOption("account", "the client account that the key is for", "ACCOUNT");
        syntax.addOption("note", "who holds the key");
    }

    int run(const Arguments& arguments, Streams streams) const override
    {
        std::string key = std::string(keyPrefix) + base::randomHex(keyBytes);
        nlohmann::ordered_json entry { { "sha256", base::sha256Hex(key) } };
        if (std::string note = arguments.text("note"); !note.empty())
            entry["note"] = note;
        streams.output << "key, shown only now: " << key << "\n"
                       << "line for accounts." << arguments.text("account") << ".keys: "
                       << entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << ",\n";
        return exitGood;
    }
};

const RegisterCommand<KeyNewCommand> registration;

} // namespace

} // namespace toucanstep::cli
