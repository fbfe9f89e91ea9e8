// A command of `toucanstep`. One file for each: it derives from Command and registers itself, and nothing else changes.
//
//     class StatusCommand final : public Command { ... };
//     const RegisterCommand<StatusCommand> registration;

#pragma once

#include <boost/program_options.hpp>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace toucanstep::cli {

namespace options = boost::program_options;

// Exit statuses that mean the same for every command.
inline constexpr int exitGood = 0;
inline constexpr int exitFindings = 1;
inline constexpr int exitUnusable = 2;

struct ExitStatus {
    int status;
    std::string meaning;
};

// What a command declares about its arguments. An operand is a positional argument, taken once; it is required unless it
// was declared as optional, and optional ones come last.
class Syntax {
public:
    Syntax();

    // Declares `--name VALUE`, with a default unless that is empty.
    void addOption(const std::string& name, const std::string& description, const std::string& fallback = {});
    void addFlag(const std::string& name, const std::string& description);
    void addOperand(const std::string& name, const std::string& description);
    void addOptionalOperand(const std::string& name, const std::string& description);

    const options::options_description& visible() const { return m_visible; }
    options::options_description all() const;
    options::positional_options_description positions() const;
    const std::vector<std::string>& operands() const { return m_operands; }
    const std::vector<std::string>& optionalOperands() const { return m_optionalOperands; }
    const std::vector<std::string>& optionNames() const { return m_optionNames; }

private:
    options::options_description m_visible;
    options::options_description m_hidden;
    std::vector<std::string> m_operands;
    std::vector<std::string> m_optionalOperands;
    std::vector<std::string> m_optionNames;
};

// Parsed arguments.
class Arguments {
public:
    explicit Arguments(options::variables_map values)
        : m_values(std::move(values))
    {
    }

    // The value of an option or operand; empty where it was not given and has no default.
    std::string text(const std::string& name) const;
    bool flag(const std::string& name) const { return m_values.count(name) != 0; }

private:
    options::variables_map m_values;
};

// Where a command writes.
struct Streams {
    std::ostream& output;
    std::ostream& errors;
};

class Command {
public:
    virtual ~Command() = default;
    // One word or two, for example `check` or `key new`.
    virtual std::string name() const = 0;
    // One line for the list of commands.
    virtual std::string summary() const = 0;
    // A whole command line that works, for the help.
    virtual std::string example() const = 0;
    virtual std::vector<ExitStatus> exitStatuses() const = 0;
    virtual void declare(Syntax&) const = 0;
    // Gives the exit status.
    virtual int run(const Arguments&, Streams) const = 0;
};

// All commands, ordered by name.
std::vector<const Command*> allCommands();

void addCommand(std::unique_ptr<Command>);

// Checks the settings file of a direct gateway, whose format the platform lays out: one line for each finding.
using SettingsChecker = std::function<std::vector<std::string>(const std::string& text)>;
// `toucanstep check` uses it for files that end with .toml; without one it checks operators' texts only.
void setSettingsChecker(SettingsChecker);

template <typename Type>
class RegisterCommand {
public:
    RegisterCommand() { addCommand(std::make_unique<Type>()); }
};

} // namespace toucanstep::cli
