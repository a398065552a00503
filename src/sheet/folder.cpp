#include "sheet/folder.hpp"

#include "documents/files.hpp"

#include <filesystem>
#include <fstream>

namespace lagoon {

namespace fs = std::filesystem;

namespace {

// ---- files --------------------------------------------------------------

struct named_text
{
    fs::path path = {};
    std::string text = {};
};

// Whole or not at all: written beside, then renamed.
bool write_whole(named_text const& what)
{
    fs::path beside = what.path;
    beside += ".new";
    {
        std::ofstream file{beside, std::ios::binary | std::ios::trunc};
        file << what.text;
        if (!file.flush())
            return false;
    }
    std::error_code error;
    fs::rename(beside, what.path, error);
    return !error;
}

template <class Parse>
auto read_one(fs::path const& path, std::vector<json_problem>& problems,
              Parse parse)
{
    json_checker checker{path.string()};
    std::optional<std::string> const text = read_file(path.string());
    auto const value = parse(checker, text.value_or(std::string{}));
    problems.insert(problems.end(), checker.problems().begin(),
                    checker.problems().end());
    return value;
}

// The head comes last, so that whoever sees it finds the rest.
std::vector<named_text> texts_of(fs::path const& folder,
                                 document_set const& set)
{
    std::vector<named_text> texts;
    for (auto const& [name, part] : set.parts)
        texts.push_back(
            {folder / "parts" / (name + ".json"), write_document(part)});
    texts.push_back({folder / "fleet.json", write_document(set.fleet)});
    texts.push_back({folder / "index.json", write_document(set.index)});
    texts.push_back({folder / "head.json", write_document(set.head)});
    return texts;
}

}  // namespace

// ---- read_documents -----------------------------------------------------

std::optional<document_set> read_documents(std::string const& folder,
                                           std::vector<json_problem>& problems)
{
    fs::path const root{folder};
    if (!fs::exists(root / "head.json"))
        return document_set{};
    auto const head = read_one(root / "head.json", problems, parse_head);
    auto const index = read_one(root / "index.json", problems, parse_index);
    auto const fleet = read_one(root / "fleet.json", problems, parse_fleet);
    if (!head || !index || !fleet)
        return std::nullopt;
    document_set set{*head, *index, *fleet, {}};
    for (part_change const& change : index->parts) {
        if (change.is_removed || change.name.empty())
            continue;
        auto const part = read_one(root / "parts" / (change.name + ".json"),
                                   problems, parse_service);
        if (part)
            set.parts[change.name] = *part;
    }
    if (!problems.empty())
        return std::nullopt;
    return set;
}

// ---- write_documents ----------------------------------------------------

bool write_documents(std::string const& folder, document_set const& set,
                     failure& last)
{
    std::vector<named_text> const texts = texts_of(folder, set);
    for (named_text const& one : texts)
        if (one.text.size() > max_document_size) {
            last = {step::read_sheet,
                    reason::too_large,
                    {},
                    one.path.string() + " would have " +
                        std::to_string(one.text.size()) + " bytes"};
            return false;
        }
    std::error_code error;
    fs::create_directories(fs::path{folder} / "parts", error);
    for (named_text const& one : texts)
        if (!write_whole(one)) {
            last = {step::read_sheet,
                    reason::unreachable,
                    {},
                    one.path.string() + " can't be written"};
            return false;
        }
    return true;
}

}  // namespace lagoon
