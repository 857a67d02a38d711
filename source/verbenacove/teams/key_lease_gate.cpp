#include "verbenacove/teams/key_lease_gate.hpp"

#include "verbenacove/core/event_log.hpp"

#include <utility>

namespace verbenacove
{

namespace
{

event_log const keys_log{"keys"};

} // namespace

key_lease_gate::key_lease_gate(std::optional<milliseconds> revocation)
{
    if (revocation)
    {
        lease_.emplace(*revocation);
    }
}

void key_lease_gate::set_routes(qint64 revision, bool uses_keys)
{
    uses_keys_ = uses_keys;
    revision_ = revision;
    if (lease_)
    {
        lease_->set_revision(revision);
    }
}

void key_lease_gate::confirm(key_confirmation const& confirmation)
{
    if (lease_)
    {
        lease_->confirm(confirmation);
    }
}

bool key_lease_gate::permits_request()
{
    bool const permits =
        !lease_ || !uses_keys_ || lease_->is_valid(boot_clock::now());
    refused_ += permits ? 0 : 1;
    return permits;
}

void key_lease_gate::log_changes()
{
    if (!lease_)
    {
        return;
    }
    auto const now = boot_clock::now();
    bool const has_ended = uses_keys_ && !lease_->is_valid(now);
    if (has_ended == ended_.has_value())
    {
        return;
    }
    auto const age = lease_->age(now).value_or(milliseconds(-1));
    if (has_ended)
    {
        ended_ = now;
        keys_log.note("lease.ended", {{"age_ms", qint64{age.count()}},
                                      {"revision", revision_}});
        return;
    }
    auto const missing = std::chrono::duration_cast<milliseconds>(
        now - *std::exchange(ended_, std::nullopt));
    keys_log.note("lease.renewed", {{"age_ms", qint64{age.count()}},
                                    {"revision", revision_},
                                    {"missing_ms", qint64{missing.count()}},
                                    {"refused", std::exchange(refused_, 0)}});
}

std::optional<milliseconds> key_lease_gate::remaining() const
{
    return lease_ && uses_keys_
               ? std::optional(lease_->remaining(boot_clock::now()))
               : std::nullopt;
}

} // namespace verbenacove
