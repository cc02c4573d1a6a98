/** Loaded before all tests: snapshots for chai. */

import * as chai from 'chai'
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot'

chai.use(jestSnapshotPlugin())
