import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BodyLimits } from '@tealdock/adapters';
import { HEARTBEAT_PATH, JOBS_PATH, MAX_BODY_BYTES } from '@tealdock/wire';

// Guards against a machine that loses its lease while nothing tells why it is not answered.
test('a heartbeat that is refused for its size is logged and counted, a long submission is counted', () => {
  const counts: string[] = [];
  const lines: unknown[] = [];
  const limits = new BodyLimits(
    { count: (name) => void counts.push(name) },
    (level, fields, text) => lines.push({ level, ...fields, text }),
  );
  const request = { path: HEARTBEAT_PATH, from: '10.1.0.232', announcedBytes: '70000' };
  assert.equal(limits.reserve(request, MAX_BODY_BYTES, MAX_BODY_BYTES), null);
  assert.deepEqual([counts, lines], [[], []]);
  assert.equal(limits.reserve(request, 1, MAX_BODY_BYTES + 1)?.status, 400);
  assert.deepEqual(counts, ['reports.too_long', 'requests.too_long']);
  const text = 'heartbeat refused for its size';
  assert.deepEqual(lines, [{ level: 'error', from: '10.1.0.232', bytes: '70000', text }]);
  assert.equal(limits.reserve({ ...request, path: JOBS_PATH }, 1, 70_000)?.status, 400);
  assert.deepEqual(counts.slice(2), ['requests.too_long']);
  assert.equal(lines.length, 1);
});
