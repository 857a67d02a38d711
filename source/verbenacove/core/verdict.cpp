#include "verbenacove/core/verdict.hpp"

namespace verbenacove
{

QByteArray verdict_word(run_verdict verdict)
{
    switch (verdict)
    {
    case run_verdict::not_run:
        return "not-run";
    case run_verdict::ran:
        return "ran";
    case run_verdict::may_have_run:
        break;
    }
    return "may-have-run";
}

} // namespace verbenacove
