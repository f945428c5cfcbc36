import { fileURLToPath } from 'node:url';
import { defineConfig } from 'vitest/config';

const packagesDirectory = fileURLToPath(new URL('./packages', import.meta.url));

/** Tests that measure the memory and the descriptors of processes. */
const MEMORY_TESTS = ['packages/*/src/test/memory/**/*.test.ts'];

/** Workspace packages resolve to their sources, so that tests need no build. */
export default defineConfig({
  resolve: {
    alias: [
      {
        find: '@dandelionlane/platform-adapter',
        replacement: fileURLToPath(new URL('./platform/src/index.ts', import.meta.url)),
      },
      {
        find: /^@dandelionlane\/([a-z-]+)$/,
        replacement: `${packagesDirectory}/$1/src/index.ts`,
      },
    ],
  },
  test: {
    // Ends a test that hangs. No verdict may depend on how busy the machine is.
    testTimeout: 120_000,
    hookTimeout: 120_000,
    sequence: { seed: 1 },
    projects: [
      {
        extends: true,
        test: {
          name: 'unit',
          include: ['packages/*/src/test/**/*.test.ts', 'platform/src/test/**/*.test.ts'],
          exclude: ['**/dist/**', '**/node_modules/**', ...MEMORY_TESTS],
          maxWorkers: 4,
        },
      },
      {
        extends: true,
        test: {
          name: 'memory',
          include: MEMORY_TESTS,
          exclude: ['**/dist/**', '**/node_modules/**'],
          // Runs after the project above, one file at a time, so that no other test takes memory or descriptors.
          sequence: { groupOrder: 1 },
          maxWorkers: 1,
        },
      },
    ],
  },
});
