#ifndef VERBENACOVE_INTEGRATION_DOCUMENTED_ANSWER_HPP
#define VERBENACOVE_INTEGRATION_DOCUMENTED_ANSWER_HPP

#include "support/http_caller.hpp"

#include <algorithm>
#include <array>

namespace verbenacove::support
{

/** Returns true when status, error code and verdict of a whole answer to a
    call are a row of the API's table of verdicts. */
inline bool is_documented(http_answer const& answer)
{
    struct row
    {
        int status;
        char const* code;
        char const* verdict;
    };
    static constexpr std::array<row, 12> rows{
        {{400, "key-required", "not-run"},
         {404, "unknown-service", "not-run"},
         {409, "key-reused", "not-run"},
         {409, "in-progress", "may-have-run"},
         {429, "quarantined", "may-have-run"},
         {502, "upstream-failed", "may-have-run"},
         {503, "no-upstream", "not-run"},
         {503, "overloaded", "not-run"},
         {503, "stopping", "not-run"},
         {503, "no-quorum", "not-run"},
         {503, "not-ready", "not-run"},
         {504, "deadline", "not-run"}}};
    auto const verdict = answer.headers.value("run-verdict");
    if (verdict == "ran")
    {
        return true;
    }
    auto const code =
        answer.json().value(QStringLiteral("error")).toString().toLatin1();
    bool const is_late_run =
        answer.status == 504 && code == "deadline" && verdict == "may-have-run";
    return is_late_run ||
           std::any_of(rows.begin(), rows.end(),
                       [&](row const& known)
                       {
                           return known.status == answer.status &&
                                  known.code == code &&
                                  known.verdict == verdict;
                       });
}

} // namespace verbenacove::support

#endif
