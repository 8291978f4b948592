package ironwind;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.Architectures;

/** Packages depend on each other in one direction only, and the decision logic does no I/O. */
@AnalyzeClasses(packages = "ironwind", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    @ArchTest
    static final ArchRule LAYERS_DEPEND_IN_ONE_DIRECTION =
            Architectures.layeredArchitecture()
                    .consideringOnlyDependenciesInLayers()
                    .layer("boot")
                    .definedBy("ironwind.boot..")
                    .layer("adapter")
                    .definedBy("ironwind.adapter..")
                    .layer("net")
                    .definedBy("ironwind.net..")
                    .layer("config")
                    .definedBy("ironwind.config..")
                    .layer("logic")
                    .definedBy("ironwind")
                    .layer("idle")
                    .definedBy("ironwind.idle..")
                    .layer("pg")
                    .definedBy("ironwind.pg..")
                    .layer("hcl")
                    .definedBy("ironwind.hcl..")
                    .layer("model")
                    .definedBy("ironwind.model..")
                    .whereLayer("boot")
                    .mayNotBeAccessedByAnyLayer()
                    .whereLayer("adapter")
                    .mayOnlyBeAccessedByLayers("boot")
                    .whereLayer("net")
                    .mayOnlyBeAccessedByLayers("boot")
                    .whereLayer("config")
                    .mayOnlyBeAccessedByLayers("boot", "adapter", "net")
                    .whereLayer("logic")
                    .mayOnlyBeAccessedByLayers("adapter", "net")
                    .whereLayer("idle")
                    .mayOnlyBeAccessedByLayers("net", "config")
                    .whereLayer("pg")
                    .mayOnlyBeAccessedByLayers("net")
                    .whereLayer("hcl")
                    .mayOnlyBeAccessedByLayers("config", "boot");

    @ArchTest
    static final ArchRule DECISIONS_DO_NO_IO =
            ArchRuleDefinition.noClasses()
                    .that()
                    .resideInAnyPackage(
                            "ironwind", "ironwind.idle..", "ironwind.model..", "ironwind.pg..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "java.io..",
                            "java.nio.channels..",
                            "java.net..",
                            "java.nio.file..",
                            "io.vertx..",
                            "io.netty..",
                            "java.util.concurrent..",
                            "java.time..");
}
