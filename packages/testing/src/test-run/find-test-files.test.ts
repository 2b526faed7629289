import assert from 'node:assert/strict';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { findTestFiles } from './find-test-files.js';

test('test files are found in all folders of each dist folder and nowhere else', () => {
  const root = mkdtempSync(join(tmpdir(), 'tealdock-test-files-'));
  const write = (path: string): void => {
    const file = join(root, 'packages', path);
    mkdirSync(join(file, '..'), { recursive: true });
    writeFileSync(file, '');
  };
  try {
    for (const path of [
      'b/dist/top.test.js',
      'a/dist/deep/folder/one.test.js',
      'a/dist/deep/no-test.js',
      'a/dist/deep/one.test.d.ts',
      'a/src/one.test.js',
      'a/node_modules/other/dist/one.test.js',
    ])
      write(path);
    assert.deepEqual(findTestFiles(root), [
      join(root, 'packages/a/dist/deep/folder/one.test.js'),
      join(root, 'packages/b/dist/top.test.js'),
    ]);
  } finally {
    rmSync(root, { recursive: true });
  }
});
