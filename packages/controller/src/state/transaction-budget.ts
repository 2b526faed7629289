/** What fits into one transaction of the state service. */
import {
  MAX_BODY_BYTES,
  renderTransaction,
  type Precondition,
  type Settings,
  type Write,
} from '@tealdock/wire';

/** A transaction may compare this many times as many keys as it may write (PROTOCOL, commit). */
export const PRECONDITIONS_PER_WRITE_COUNT = 4;
/** A comma, which separates two elements of a list. */
const SEPARATOR_BYTES = 1;
const EMPTY_TRANSACTION_BYTES = transactionBytes([], []);

/**
 * Collects the elements of one transaction, as far as they fit by number and by size. A transaction
 * that exceeds a limit is refused whole, and would be refused each time that it is sent again.
 */
export class TransactionBudget {
  private writesLeft: number;
  private preconditionsLeft: number;
  private bytesLeft = MAX_BODY_BYTES - EMPTY_TRANSACTION_BYTES;

  constructor({ maxTransactionWrites }: Pick<Settings['state'], 'maxTransactionWrites'>) {
    this.writesLeft = maxTransactionWrites;
    this.preconditionsLeft = maxTransactionWrites * PRECONDITIONS_PER_WRITE_COUNT;
  }

  /** Takes room for preconditions and writes that belong together; false if they do not fit. */
  take(preconditions: Precondition[], writes: Write[]): boolean {
    const separatorBytes = (preconditions.length + writes.length) * SEPARATOR_BYTES;
    const bytes =
      transactionBytes(preconditions, writes) - EMPTY_TRANSACTION_BYTES + separatorBytes;
    const fits =
      writes.length <= this.writesLeft &&
      preconditions.length <= this.preconditionsLeft &&
      bytes <= this.bytesLeft;
    if (!fits) return false;
    this.writesLeft -= writes.length;
    this.preconditionsLeft -= preconditions.length;
    this.bytesLeft -= bytes;
    return true;
  }
}

/** Size of the JSON form, in which the protocol counts it. */
function transactionBytes(preconditions: Precondition[], writes: Write[]): number {
  return Buffer.byteLength(JSON.stringify(renderTransaction(preconditions, writes)));
}
