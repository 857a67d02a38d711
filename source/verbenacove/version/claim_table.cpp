#include "verbenacove/version/claim_table.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <utility>

namespace verbenacove
{

namespace leaf = boost::leaf;

namespace
{

// Beyond these many names each record keeps its own copy.
constexpr qsizetype maximum_shared_names = 4096;

bool is_equal(std::array<char, fingerprint_bytes> const& stored,
              request_fingerprint const& fingerprint)
{
    return std::equal(stored.begin(), stored.end(), fingerprint.value().begin(),
                      fingerprint.value().end());
}

} // namespace

claim_table::claim_table(claim_limits const& limits)
    : limits_(limits)
{
}

claim_answer claim_table::apply(claim_log_command const& command)
{
    move_time(command.at);
    expire();
    return std::visit([this](auto const& kind) { return apply_command(kind); },
                      command.command);
}

claim_answer claim_table::find(claim_key const& key) const
{
    auto const found = claims_.constFind({&key});
    return found == claims_.constEnd() ? claim_answer{} : state_of(**found);
}

claim_answer claim_table::apply_command(claim_command const& command)
{
    if (is_fenced(command.holder))
    {
        return {claim_result::fenced, {}, {}};
    }
    auto const found = claims_.constFind({&command.key});
    if (found != claims_.constEnd())
    {
        auto const& known = **found;
        if (!is_equal(known.fingerprint, command.fingerprint))
        {
            return {claim_result::mismatch, known.holder, {}};
        }
        if (is_open(known) && known.holder == command.holder)
        {
            return {claim_result::granted, {}, {}};
        }
        return state_of(known);
    }
    if (claims_.size() >= limits_.claims)
    {
        return {claim_result::full, {}, {}};
    }
    record added{command.key, {}, command.holder, now_, false, {}, 0};
    auto const& digest = command.fingerprint.value();
    std::copy_n(digest.begin(), std::min(digest.size(), fingerprint_bytes),
                added.fingerprint.begin());
    add_record(std::move(added), true);
    return {claim_result::granted, {}, {}};
}

claim_answer claim_table::apply_command(outcome_command const& command)
{
    auto const found = claims_.constFind({&command.key});
    if (found == claims_.constEnd())
    {
        return {claim_result::unknown, {}, {}};
    }
    auto const known = *found;
    if (known->holder != command.holder)
    {
        return {claim_result::not_holder, {}, {}};
    }
    if (!known->outcome.isEmpty())
    {
        return {claim_result::recorded, {}, outcome_of(*known)};
    }
    // An abandoned claim's outcome may commit late; it is still the truth.
    bool const was_open = is_open(*known);
    auto kept = store(*known, command.outcome);
    if (was_open)
    {
        close(known);
    }
    return {claim_result::recorded, {}, std::move(kept)};
}

claim_answer claim_table::apply_command(release_command const& command)
{
    auto const found = claims_.constFind({&command.key});
    bool const is_own =
        found != claims_.constEnd() && (*found)->holder == command.holder;
    if (is_own && !is_open(**found))
    {
        return state_of(**found);
    }
    // The fence goes first: without it the same claim, committed again, would
    // be granted to a holder that has given up.
    if (!add_fence(command.holder))
    {
        return {claim_result::full, {}, {}};
    }
    if (is_own)
    {
        erase(open_, *found);
    }
    return {claim_result::released, {}, {}};
}

claim_answer claim_table::apply_command(abandon_command const& command)
{
    note_gone(command.entry, command.last_gone);
    for (auto next = open_.begin(); next != open_.end();)
    {
        auto const found = next++;
        if (found->holder.entry == command.entry &&
            found->holder.entry_incarnation <= command.last_gone)
        {
            found->is_abandoned = true;
            close(found);
        }
    }
    return {claim_result::released, {}, {}};
}

void claim_table::move_time(log_time at)
{
    auto const furthest = now_.value() + limits_.time_step_ms;
    auto const proposed = std::min(at.value(), furthest);
    now_ = log_time(std::max(now_.value(), proposed));
}

void claim_table::expire()
{
    expire_front(open_);
    expire_front(closed_);
    while (!fences_.empty() && is_over(fences_.front().since))
    {
        fenced_.remove(fences_.front().holder);
        fences_.pop_front();
    }
    while (!gone_.empty() && is_over(gone_.front().since))
    {
        gone_entries_.remove(gone_.front().entry);
        gone_.pop_front();
    }
}

void claim_table::expire_front(record_list& records)
{
    while (!records.empty() && is_over(records.front().since))
    {
        erase(records, records.begin());
    }
}

bool claim_table::is_over(log_time since) const
{
    return now_.value() - since.value() >= limits_.retention_ms;
}

bool claim_table::is_fenced(claim_holder const& holder) const
{
    auto const gone = gone_entries_.constFind(holder.entry);
    bool const is_gone = gone != gone_entries_.constEnd() &&
                         holder.entry_incarnation <= (*gone)->last_gone;
    return is_gone || fenced_.contains(holder);
}

bool claim_table::add_fence(claim_holder const& holder)
{
    if (is_fenced(holder))
    {
        return true;
    }
    if (fenced_.size() >= limits_.fences)
    {
        return false;
    }
    fences_.push_back({holder, now_});
    fenced_.insert(holder);
    return true;
}

void claim_table::add_record(record added, bool is_open)
{
    auto& records = is_open ? open_ : closed_;
    added.key.service = service_name(shared_name(added.key.service.value()));
    added.holder.entry = entry_id(shared_name(added.holder.entry.value()));
    stored_bytes_ += added.stored;
    records.push_back(std::move(added));
    claims_.insert({&records.back().key}, std::prev(records.end()));
}

void claim_table::close(record_list::iterator found)
{
    found->since = now_;
    closed_.splice(closed_.end(), open_, found);
}

void claim_table::erase(record_list& records, record_list::iterator found)
{
    stored_bytes_ -= found->stored;
    claims_.remove({&found->key});
    records.erase(found);
}

void claim_table::note_gone(entry_id const& entry, incarnation last_gone)
{
    auto const found = gone_entries_.constFind(entry);
    if (found != gone_entries_.constEnd())
    {
        auto const known = *found;
        known->last_gone = std::max(known->last_gone, last_gone);
        known->since = now_;
        gone_.splice(gone_.end(), gone_, known);
        return;
    }
    if (gone_entries_.size() >= limits_.entries)
    {
        gone_entries_.remove(gone_.front().entry);
        gone_.pop_front();
    }
    gone_.push_back({entry, last_gone, now_});
    gone_entries_.insert(entry, std::prev(gone_.end()));
}

bool claim_table::has_room_for(qsizetype stored) const
{
    return stored <= limits_.outcome_bytes &&
           stored_bytes_ + stored <= limits_.stored_bytes;
}

claim_outcome claim_table::store(record& found, claim_outcome const& outcome)
{
    auto const size = content_size(outcome);
    if (!has_room_for(size))
    {
        claim_outcome kept{outcome.verdict, outcome.status, {}, {}, false};
        found.outcome = encode_outcome(kept);
        return kept;
    }
    found.outcome = encode_outcome(outcome);
    found.stored = size;
    stored_bytes_ += size;
    return outcome;
}

QString claim_table::shared_name(QString const& name)
{
    auto const known = names_.constFind(name);
    if (known != names_.constEnd())
    {
        return *known;
    }
    if (names_.size() < maximum_shared_names)
    {
        names_.insert(name);
    }
    return name;
}

bool claim_table::is_open(record const& found)
{
    return found.outcome.isEmpty() && !found.is_abandoned;
}

claim_answer claim_table::state_of(record const& found)
{
    if (!found.outcome.isEmpty())
    {
        return {claim_result::finished, {}, outcome_of(found)};
    }
    return {found.is_abandoned ? claim_result::abandoned : claim_result::held,
            found.holder,
            {}};
}

std::optional<claim_outcome> claim_table::outcome_of(record const& found)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<claim_outcome>>
        {
            BOOST_LEAF_AUTO(outcome, decode_outcome(found.outcome));
            return outcome;
        },
        []
        {
            // Only bytes that were written or checked here are stored.
            Q_ASSERT(false);
            return std::optional<claim_outcome>();
        });
}

} // namespace verbenacove
