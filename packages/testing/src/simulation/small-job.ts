/** Job descriptions for scenarios. */

/** A description of a small job, as a user submits it; `overrides` replace or add fields. */
export function job(id: number, overrides: Record<string, unknown> = {}): Record<string, unknown> {
  return {
    ref: `run-${String(id).padStart(6, '0')}`,
    jobclass: 'plain',
    owner: 'team',
    shape: 'array',
    urgency: 'normal',
    batch: 2,
    cpus: 1,
    accelerators: 0,
    mem_gb: 1,
    bundle: 'img-1',
    image_gb: 1,
    flavours: null,
    hall: null,
    same_place: false,
    apart: false,
    spare: false,
    expected_s: 10,
    snapshot_s: 0,
    flush_s: 0,
    due_s: null,
    ...overrides,
  };
}
