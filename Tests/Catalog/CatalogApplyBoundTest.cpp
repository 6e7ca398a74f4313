#include "CatalogSimulation.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}

// Guards against calls that were lost in an outage and are waited for after it.
TEST_CASE("changes that are acknowledged when a silent store returns are in force in time" * doctest::should_fail())
{
    for (milliseconds outage { 200 }; outage <= seconds(13); outage += milliseconds(100)) {
        CatalogSimulation simulation(4);
        simulation.write();
        simulation.run(milliseconds(50));
        simulation.store.setSilent(true);
        simulation.run(outage);
        simulation.store.setSilent(false);
        for (milliseconds pause : { milliseconds(0), milliseconds(300), milliseconds(500), milliseconds(6000) }) {
            simulation.run(pause);
            simulation.write();
        }
        simulation.run(seconds(3));
        CHECK_MESSAGE(simulation.firstViolation() == "", "outage of " << outage.count() << " ms");
    }
}

}
