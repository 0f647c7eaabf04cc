#ifndef REVIEW_CASES_H
#define REVIEW_CASES_H

#include "world.h"

namespace review {

int reusedAddress(const setting &setting, record &log);
int foreignHeartbeat(const setting &setting, record &log);
int queuedDrain(const setting &setting, record &log);
int publicAfterTerm(const setting &setting, record &log);
int endlessAnswer(const setting &setting, record &log);

} // namespace review

#endif
