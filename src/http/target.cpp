// Decodes requests' targets.
#include "http/target.h"

#include "http/impl/urltext.h"

namespace cardamomstep::http {

Target parseTarget(std::string_view text)
{
    const auto separator = text.find('?');
    Target target{std::string(text.substr(0, separator)), {}};
    if (separator != std::string_view::npos) {
        target.query = impl::parseQuery(text.substr(separator + 1));
    }
    return target;
}

} // namespace cardamomstep::http
