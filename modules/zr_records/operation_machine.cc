#include "zr_records/operation_machine.h"

#include "zr_records/operation_machine_impl.h"

namespace zr {

template class BasicOperationMachine<OperationRules>;

}  // namespace zr
