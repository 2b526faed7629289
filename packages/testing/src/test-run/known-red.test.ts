import assert from 'node:assert/strict';
import { test } from 'node:test';
import { KnownRedError, compareWithKnownRed, formatKnownRed, parseKnownRed } from './known-red.js';

const LINE = 'a test | npm test, seed 7 | a task ran twice | issue 1';

test('failures are expected only if listed, and a listed test that passes is outdated', () => {
  const known = parseKnownRed(`${LINE}\nanother | npm test | timed out | issue 2\n`);
  const verdict = compareWithKnownRed(known, new Set(['a test', 'a third']));
  assert.deepEqual(verdict.unexpected, ['a third']);
  assert.deepEqual(
    verdict.expected.map((red) => red.test),
    ['a test'],
  );
  assert.deepEqual(
    verdict.outdated.map((red) => red.test),
    ['another'],
  );
});

test('an entry is parsed into its four fields and formatted back into its line', () => {
  const [entry] = parseKnownRed(LINE);
  assert.deepEqual(entry, {
    test: 'a test',
    command: 'npm test, seed 7',
    observed: 'a task ran twice',
    issue: 'issue 1',
  });
  assert.equal(formatKnownRed(entry), LINE);
});

test('a list with too many lines, or a line without exactly four non-empty fields, is rejected', () => {
  assert.throws(() => parseKnownRed(`${LINE}\n`.repeat(4)), KnownRedError);
  assert.equal(parseKnownRed(`${LINE}\n`.repeat(3)).length, 3);
  for (const empty of [0, 1, 2, 3]) {
    const fields = LINE.split('|').map((field, i) => (i === empty ? ' ' : field));
    assert.throws(() => parseKnownRed(fields.join('|')), KnownRedError);
  }
  assert.throws(() => parseKnownRed('a test'), KnownRedError);
  assert.throws(() => parseKnownRed('a test | its cause | issue 1'), KnownRedError);
  assert.throws(() => parseKnownRed(`${LINE} | more`), KnownRedError);
  assert.deepEqual(parseKnownRed('\n'), []);
});
