/**
 * The size of workers' heartbeats and of the commands in the answers to them. This is the one place
 * that knows how much of the size limit of a request the tasks of a machine may take: a heartbeat
 * names every task, and one that exceeds the limit is refused, so that the machine's lease expires.
 * All sizes are bytes of the JSON form, in which the protocol counts them (PROTOCOL, top); the
 * MessagePack form of these messages is always shorter.
 */
import { MAX_BODY_BYTES } from './body.js';
import type { JobSpec, TaskStatus, WorkerCommand, WorkerHeartbeat } from './domain.js';
import { MAX_ADDRESS_LENGTH, MAX_MACHINE_ID_LENGTH, renderCommand } from './workers.js';

/** A comma, which separates two elements of a list. */
const SEPARATOR_BYTES = 1;
/** The quotes around a text. */
const QUOTES_BYTES = '""'.length;
/** Counts are integers below 2^64, and a duration has at most as many characters. */
const LONGEST_NUMBER = '18446744073709551615';
/** The largest attempt number that this program can assign. */
const LONGEST_ATTEMPT_BYTES = String(Number.MAX_SAFE_INTEGER).length;
/** The longest reasons for which a task of an array or service, and one of a gang, may exit. */
const LONGEST_REASON = 'stopped';
const LONGEST_GANG_REASON = 'incomplete';
/** Bytes of a message to a worker that carries no command. */
const NO_COMMANDS_BYTES = `{"fence":${LONGEST_NUMBER},"orders":[],"shift":${LONGEST_NUMBER}}`
  .length;

/** What the entry of a task in heartbeats may have to say about it, beside its id and attempt. */
export interface TaskEntryForm {
  readonly isGang: boolean;
  /** Whether the task may save its state when it is stopped. */
  readonly mayBeSaved: boolean;
}

/** The longest form, for tasks whose job is not known. */
export const LONGEST_ENTRY_FORM: TaskEntryForm = { isGang: true, mayBeSaved: true };

/** The form of the entries of a job's tasks. */
export const entryFormOf = ({ kind, checkpoint }: JobSpec): TaskEntryForm => ({
  isGang: kind === 'gang',
  mayBeSaved: checkpoint > 0,
});

const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Size of an entry without its task and attempt, when it is longest: once the task has exited. */
function longestRemainder({ isGang, mayBeSaved }: TaskEntryForm): number {
  const reason = isGang ? LONGEST_GANG_REASON : LONGEST_REASON;
  const entry = { piece: '', try_no: 0, status: 'exited', reason };
  const { length } = JSON.stringify(mayBeSaved ? { ...entry, saved: true } : entry);
  return length - '0'.length + SEPARATOR_BYTES;
}

const PLAIN_BYTES = longestRemainder({ isGang: false, mayBeSaved: false });
const SAVED_BYTES = longestRemainder({ isGang: false, mayBeSaved: true });
const GANG_BYTES = longestRemainder({ isGang: true, mayBeSaved: false });
const SAVED_GANG_BYTES = longestRemainder({ isGang: true, mayBeSaved: true });

function remainderBytes({ isGang, mayBeSaved }: TaskEntryForm): number {
  if (isGang) return mayBeSaved ? SAVED_GANG_BYTES : GANG_BYTES;
  return mayBeSaved ? SAVED_BYTES : PLAIN_BYTES;
}

/** The most bytes that a task may ever take in its machine's heartbeats, until it is forgotten. */
export function maxTaskEntryBytes(task: string, attempt: number, form: TaskEntryForm): number {
  const taskBytes = jsonBytes(task) - QUOTES_BYTES;
  return taskBytes + String(attempt).length + remainderBytes(form);
}

/** As `maxTaskEntryBytes`, for any task and any attempt of a job. */
export function maxEntryBytesOfJob(spec: JobSpec): number {
  const taskBytes = spec.id.length + '/'.length + String(spec.taskCount - 1).length;
  return taskBytes + LONGEST_ATTEMPT_BYTES + remainderBytes(entryFormOf(spec));
}

const exitedEntryBytes = ({ task, attempt, saved }: TaskStatus): number =>
  maxTaskEntryBytes(task, attempt, { isGang: true, mayBeSaved: saved });

/** The names in a heartbeat that say from which machine it comes. */
type MachineNames = Pick<WorkerHeartbeat, 'machine' | 'address' | 'type' | 'zone'>;

/** A heartbeat that names no task, with the longest numbers and without names. */
const NAMELESS_HEADER_BYTES = [
  '{"host":,"addr":,"flavour":,"hall":,"spare":false,"batch":[]',
  ...['shift', 'tally', 'fence', 'warning_s'].map((name) => `,"${name}":${LONGEST_NUMBER}`),
  '}',
].join('').length;
/** As a header with the longest machine id and address, but without type and zone. */
const LONGEST_HEADER_BYTES =
  NAMELESS_HEADER_BYTES + MAX_MACHINE_ID_LENGTH + MAX_ADDRESS_LENGTH + 2 * QUOTES_BYTES;

const headerBytes = ({ machine, address, type, zone }: MachineNames): number =>
  [machine, address, type, zone].reduce(
    (sum, name) => sum + jsonBytes(name),
    NAMELESS_HEADER_BYTES,
  );

/** Bytes that entries of tasks may take in the heartbeats of a machine of this type and zone. */
export const taskBytesOfNewMachine = (type: string, zone: string): number =>
  MAX_BODY_BYTES - LONGEST_HEADER_BYTES - jsonBytes(type) - jsonBytes(zone);

/** Bytes that tasks which have not exited may take in the machine's next heartbeats. */
export function taskBytesBesideExited(heartbeat: WorkerHeartbeat): number {
  const exited = heartbeat.tasks.filter(({ state }) => state === 'exited');
  const exitedBytes = exited.reduce((sum, task) => sum + exitedEntryBytes(task), 0);
  return MAX_BODY_BYTES - headerBytes(heartbeat) - exitedBytes;
}

const commandBytes = (command: WorkerCommand): number =>
  jsonBytes(renderCommand(command)) + SEPARATOR_BYTES;

/**
 * The commands that fit into one message to a worker, by its size limit. The stops of all tasks of a
 * machine fit as long as the machine's heartbeats do, since an entry is longer than a stop.
 */
export class CommandBudget {
  private left = MAX_BODY_BYTES - NO_COMMANDS_BYTES;

  /** Takes the bytes of a command; false, and nothing is taken, if it does not fit any more. */
  take(command: WorkerCommand): boolean {
    return this.takeAll([command]);
  }

  /** As `take`, for commands of which all or none must be sent. */
  takeAll(commands: readonly WorkerCommand[]): boolean {
    const bytes = commands.reduce((sum, command) => sum + commandBytes(command), 0);
    if (bytes > this.left) return false;
    this.left -= bytes;
    return true;
  }
}
