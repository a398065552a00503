#include "sheet/folder.hpp"

#include "documents/files.hpp"

#include <filesystem>
#include <fstream>

namespace lagoon {

namespace fs = std::filesystem;

namespace {

// ---- files --------------------------------------------------------------

struct document_file
{
    fs::path path = {};
    std::string text = {};
};

// Writes a temporary file and renames it, so that readers never see a partial
// document.
bool write_atomically(document_file const& document)
{
    fs::path temporary = document.path;
    temporary += ".new";
    {
        std::ofstream file{temporary, std::ios::binary | std::ios::trunc};
        file << document.text;
        if (!file.flush())
            return false;
    }
    std::error_code file_error;
    fs::rename(temporary, document.path, file_error);
    return !file_error;
}

template <class Parse>
auto read_document(fs::path const& path, std::vector<json_problem>& problems,
                   Parse parse)
{
    json_checker checker{path.string()};
    std::optional<std::string> const text = read_file(path.string());
    auto const value = parse(checker, text.value_or(std::string{}));
    problems.insert(problems.end(), checker.problems().begin(),
                    checker.problems().end());
    return value;
}

// Returns the files in the order of writing. The head is last, so that the
// documents that it refers to exist once it is visible.
std::vector<document_file> render_files(fs::path const& folder,
                                        document_set const& set)
{
    std::vector<document_file> files;
    for (auto const& [name, part] : set.parts)
        files.push_back(
            {folder / "parts" / (name + ".json"), write_document(part)});
    files.push_back({folder / "fleet.json", write_document(set.fleet)});
    files.push_back({folder / "index.json", write_document(set.index)});
    files.push_back({folder / "head.json", write_document(set.head)});
    return files;
}

}  // namespace

// ---- read_documents -----------------------------------------------------

std::optional<document_set> read_documents(std::string const& folder,
                                           std::vector<json_problem>& problems)
{
    fs::path const root{folder};
    if (!fs::exists(root / "head.json"))
        return document_set{};
    auto const head = read_document(root / "head.json", problems, parse_head);
    auto const index =
        read_document(root / "index.json", problems, parse_index);
    auto const fleet =
        read_document(root / "fleet.json", problems, parse_fleet);
    if (!head || !index || !fleet)
        return std::nullopt;
    document_set set{*head, *index, *fleet, {}};
    for (part_change const& change : index->parts) {
        if (change.is_removed || change.name.empty())
            continue;
        auto const part = read_document(
            root / "parts" / (change.name + ".json"), problems, parse_service);
        if (part)
            set.parts[change.name] = *part;
    }
    if (!problems.empty())
        return std::nullopt;
    return set;
}

// ---- write_documents ----------------------------------------------------

bool write_documents(std::string const& folder, document_set const& set,
                     failure& error)
{
    std::vector<document_file> const files = render_files(folder, set);
    for (document_file const& file : files)
        if (file.text.size() > max_document_size) {
            error = {step::read_sheet,
                     reason::too_large,
                     {},
                     file.path.string() + " would be " +
                         std::to_string(file.text.size()) + " bytes long"};
            return false;
        }
    std::error_code file_error;
    fs::create_directories(fs::path{folder} / "parts", file_error);
    for (document_file const& file : files)
        if (!write_atomically(file)) {
            error = {step::read_sheet,
                     reason::unreachable,
                     {},
                     file.path.string() + " can't be written"};
            return false;
        }
    return true;
}

}  // namespace lagoon
