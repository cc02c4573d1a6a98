/** Loaded before all tests. Adds snapshot assertions to chai. */

import * as chai from 'chai'
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot'

chai.use(jestSnapshotPlugin())
