#ifndef RAGWORTPIN_CORE_CORE_H
#define RAGWORTPIN_CORE_CORE_H

#include "ragwortpin/core/error_category.h"
#include "ragwortpin/core/fwd.h"
#include "ragwortpin/core/outcome.h"
#include "ragwortpin/core/time.h"

#endif
