/**
 * Values in the state service: their types, and readers that validate them. The field names are
 * stored and read by other versions of this program, so they can't change.
 */
import type { JobSpec, JobState, MachineType } from '@tealdock/wire';

/** The leader; the nonce distinguishes the commits of one member. */
export interface LeaderValue {
  member: string;
  nonce: string;
}

/** Allows a follower to renew workers' leases for the leader (leadership/delegation-grants.ts). */
export interface GrantValue {
  /** Fencing token of the leader that it is for. */
  token: number;
  /** Unix time of the request, in ms. */
  at: number;
}

/** An accepted job that has not ended. */
export interface LiveValue {
  spec: JobSpec;
  /** Unix time of the submission, in ms. */
  submitted: number;
}

/** A job that has ended, which is final. */
export interface EndedValue {
  state: Extract<JobState, 'done' | 'cancelled'>;
  spec: JobSpec;
  /** Unix time of the end, in ms; absent in values written before job dependencies existed. */
  at?: number;
}

/** A machine in the machine registry; `since`: Unix time of its first heartbeat, in s. */
export type RegistryEntry = [
  type: string,
  zone: string,
  spot: 0 | 1,
  returning: 0 | 1,
  since: number,
];

/** Machines with ids up to `last`, in string order, are the operator's own, not rented. */
interface OwnedValue {
  last: string;
}

/** Space in a value for the fields stored beside a job's spec. */
const VALUE_OVERHEAD_BYTES = 64;

/** Whether a job's spec fits into one value, by the size of its JSON form. */
export const fitsValue = (spec: JobSpec, maxValueBytes: number): boolean =>
  Buffer.byteLength(JSON.stringify(spec)) + VALUE_OVERHEAD_BYTES <= maxValueBytes;

/**
 * An ended job as stored. A spec that was accepted under a larger limit is stored without its
 * lists of types and predecessors, which nothing reads once the job has ended.
 */
export function endedValue(
  state: EndedValue['state'],
  spec: JobSpec,
  at: Date,
  maxValueBytes: number,
): EndedValue {
  const storedSpec = fitsValue(spec, maxValueBytes)
    ? spec
    : { ...spec, types: null, predecessors: [] };
  return { state, spec: storedSpec, at: at.getTime() };
}

/** Validates a stored live job; null if it is malformed. */
export function readLive(stored: unknown): LiveValue | null {
  const value = fieldsOf(stored);
  const isValid = isSpec(value?.['spec']) && typeof value?.['submitted'] === 'number';
  return isValid ? (stored as LiveValue) : null;
}

/** Validates a stored ended job; null if it is malformed. */
export function readEnded(stored: unknown): EndedValue | null {
  const value = fieldsOf(stored);
  const state = value?.['state'];
  const isValid = isSpec(value?.['spec']) && (state === 'done' || state === 'cancelled');
  return isValid ? (stored as EndedValue) : null;
}

/** Validates the stored leader; null if it is malformed. */
export function readLeader(stored: unknown): LeaderValue | null {
  const value = fieldsOf(stored);
  const isValid = typeof value?.['member'] === 'string' && typeof value['nonce'] === 'string';
  return isValid ? (stored as LeaderValue) : null;
}

/** Validates a stored grant of delegated lease renewal; null if it is malformed. */
export function readGrant(stored: unknown): GrantValue | null {
  const value = fieldsOf(stored);
  const isValid = typeof value?.['token'] === 'number' && typeof value['at'] === 'number';
  return isValid ? (stored as GrantValue) : null;
}

/** Validates the stored last id of the operator's own machines; null if it is malformed. */
export function readOwned(stored: unknown): OwnedValue | null {
  const last = fieldsOf(stored)?.['last'];
  return typeof last === 'string' ? { last } : null;
}

/** A machine type as it is stored. */
export interface StoredMachineType extends MachineType {
  /**
   * The catalog that the type belongs to: its fingerprint and number of types. Without it, as older
   * versions wrote them, nothing tells whether all types of the catalog are stored.
   */
  catalog?: { fingerprint: string; typeCount: number };
}

/** Validates a stored machine type; null if it is malformed. */
export function readMachineType(stored: unknown): StoredMachineType | null {
  const value = fieldsOf(stored);
  const isValid =
    typeof value?.['name'] === 'string' &&
    typeof value['cpus'] === 'number' &&
    typeof value['memoryGb'] === 'number' &&
    Array.isArray(value['zones']);
  return isValid ? (stored as StoredMachineType) : null;
}

/** Entries of a stored shard by id, themselves not validated; null if the shard is malformed. */
export function readShard(stored: unknown): Fields | null {
  return fieldsOf(fieldsOf(stored)?.['entries']);
}

type Fields = Record<string, unknown>;

function fieldsOf(stored: unknown): Fields | null {
  return typeof stored === 'object' && stored !== null ? (stored as Fields) : null;
}

function isSpec(value: unknown): boolean {
  const spec = fieldsOf(value);
  return typeof spec?.['id'] === 'string' && typeof spec['taskCount'] === 'number';
}
