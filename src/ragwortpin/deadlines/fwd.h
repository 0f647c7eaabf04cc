#ifndef RAGWORTPIN_DEADLINES_FWD_H
#define RAGWORTPIN_DEADLINES_FWD_H

#include "ragwortpin/core/fwd.h"

#endif
