#include "toucanstep/cli/CommandLine.h"

#include "toucanstep/base/Text.h"
#include "toucanstep/cli/Command.h"
#include "toucanstep/config/Nearest.h"

#include <absl/strings/str_join.h>
#include <iomanip>

namespace toucanstep::cli {

namespace {

constexpr int nameWidth = 12;

// Options are never guessed from their first letters: a script would break once another option begins with them.
constexpr int optionStyle = options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;

std::vector<std::string> commandNames()
{
    std::vector<std::string> names;
    for (const Command* command : allCommands())
        names.push_back(command->name());
    return names;
}

void printCommands(std::ostream& output)
{
    output << "usage: toucanstep COMMAND [ARGUMENTS]\n\nCommands\n";
    for (const Command* command : allCommands())
        output << "  " << std::left << std::setw(nameWidth) << command->name() << " " << command->summary() << "\n";
    output << "\n`toucanstep COMMAND --help` shows a command's options, an example and its exit statuses.\n";
}

void printHelp(const Command& command, const Syntax& syntax, std::ostream& output)
{
    output << "usage: toucanstep " << command.name();
    for (const std::string& operand : syntax.operands())
        output << " " << operand;
    for (const std::string& operand : syntax.optionalOperands())
        output << " [" << operand << "]";
    output << " [OPTIONS]\n\n"
           << command.summary() << "\n\n"
           << syntax.visible() << "\nExample\n  " << command.example() << "\n\nExit status\n";
    for (const ExitStatus& status : command.exitStatuses())
        output << "  " << status.status << "  " << status.meaning << "\n";
}

// The command whose words the arguments begin with; null for none. `words` counts them.
const Command* findCommand(const std::vector<std::string>& arguments, size_t& words)
{
    for (words = std::min<size_t>(2, arguments.size()); words > 0; --words) {
        std::string name = absl::StrJoin(arguments.begin(), arguments.begin() + static_cast<long>(words), " ");
        for (const Command* command : allCommands()) {
            if (command->name() == name)
                return command;
        }
    }
    return nullptr;
}

int reportUnknownCommand(const std::vector<std::string>& arguments, std::ostream& errors)
{
    const std::string& first = arguments.front();
    std::string both = arguments.size() > 1 ? base::concat(first, " ", arguments[1]) : first;
    auto nearest = config::nearestName(first, commandNames());
    if (!nearest)
        nearest = config::nearestName(both, commandNames());
    errors << "toucanstep: there is no command \"" << first << "\"";
    if (nearest)
        errors << "; did you mean \"" << *nearest << "\"?";
    errors << "\n`toucanstep --help` lists the commands.\n";
    return exitUnusable;
}

int reportUsage(const Command& command, std::string_view message, std::ostream& errors)
{
    errors << "toucanstep " << command.name() << ": " << message << "\n`toucanstep " << command.name() << " --help` shows its use.\n";
    return exitUnusable;
}

std::string unknownOptionMessage(const std::string& option, const Syntax& syntax)
{
    std::string bare = option.substr(std::min(option.find_first_not_of('-'), option.size()));
    auto nearest = config::nearestName(bare, syntax.optionNames());
    std::string message = base::concat("there is no option \"", option, "\"");
    if (nearest)
        base::append(message, "; did you mean \"--", *nearest, "\"?");
    return message;
}

int runCommand(const Command& command, const std::vector<std::string>& arguments, Streams streams)
{
    Syntax syntax;
    command.declare(syntax);
    options::variables_map values;
    try {
        options::options_description all = syntax.all();
        options::positional_options_description positions = syntax.positions();
        options::store(options::command_line_parser(arguments).options(all).positional(positions).style(optionStyle).run(), values);
    } catch (const options::unknown_option& error) {
        return reportUsage(command, unknownOptionMessage(error.get_option_name(), syntax), streams.errors);
    } catch (const options::error& error) {
        return reportUsage(command, error.what(), streams.errors);
    }
    if (values.count("help") != 0) {
        printHelp(command, syntax, streams.output);
        return exitGood;
    }
    for (const std::string& operand : syntax.operands()) {
        if (values.count(operand) == 0)
            return reportUsage(command, base::concat(operand, " is missing"), streams.errors);
    }
    return command.run(Arguments(std::move(values)), streams);
}

} // namespace

int runCommandLine(const std::vector<std::string>& arguments, std::ostream& output, std::ostream& errors)
{
    if (arguments.empty()) {
        printCommands(errors);
        return exitUnusable;
    }
    if (arguments.front() == "--help" || arguments.front() == "-h" || arguments.front() == "help") {
        printCommands(output);
        return exitGood;
    }
    size_t words = 0;
    const Command* command = findCommand(arguments, words);
    if (!command)
        return reportUnknownCommand(arguments, errors);
    return runCommand(*command, { arguments.begin() + static_cast<long>(words), arguments.end() }, { output, errors });
}

} // namespace toucanstep::cli
