#ifndef RAGWORTPIN_RAGWORTPIN_H
#define RAGWORTPIN_RAGWORTPIN_H

#include "ragwortpin/config/model.h"
#include "ragwortpin/core/core.h"
#include "ragwortpin/platform/store.h"
#include "ragwortpin/runtime/bounded_ring.h"
#include "ragwortpin/runtime/timer_service.h"

#endif
