#include "verbenacove/teams/key_confirmer.hpp"

namespace verbenacove
{

std::optional<key_confirmer::question>
key_confirmer::start_due(bool uses_keys, QString const& respondent,
                         boot_time now)
{
    uses_keys_ = uses_keys;
    if (!uses_keys)
    {
        open_.reset();
        latest_.reset();
        return std::nullopt;
    }
    bool const is_given_up =
        open_ && (now - open_->asked >= patience || respondent != respondent_);
    if (is_given_up)
    {
        open_.reset();
    }
    bool const is_early = last_asked_ && now - *last_asked_ < interval;
    // A new leader is asked at once: the former may have been gone for long.
    bool const is_waiting = open_ || (is_early && respondent == respondent_);
    if (is_waiting || respondent.isEmpty())
    {
        return std::nullopt;
    }
    respondent_ = respondent;
    last_asked_ = now;
    open_ = question{++last_number_, now};
    return open_;
}

void key_confirmer::finish(question const& asked,
                           std::optional<key_confirmation> const& answer)
{
    if (open_ && open_->number == asked.number)
    {
        open_.reset();
    }
    if (answer && uses_keys_)
    {
        advance(latest_, *answer);
    }
}

} // namespace verbenacove
