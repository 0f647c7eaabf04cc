#ifndef RAGWORTPIN_RUNTIME_FWD_H
#define RAGWORTPIN_RUNTIME_FWD_H

namespace ragwortpin {

template<typename Value>
class bounded_ring;
class timer_service;
class loop_probe;
class loop_meter;
class metrics_registry;

} // namespace ragwortpin

#endif
