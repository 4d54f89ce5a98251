// Creates certificates for tests: certificate authorities and certificates signed by them.
#ifndef OPALSWITCH_TESTS_STANDINS_CERTIFICATES_HPP_
#define OPALSWITCH_TESTS_STANDINS_CERTIFICATES_HPP_

#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <memory>
#include <string>

namespace opalswitch::testing {

struct Certificate {
  std::shared_ptr<EVP_PKEY> key;
  std::shared_ptr<X509> x509;

  std::string Pem() const {
    return Text([this](BIO* bio) { PEM_write_bio_X509(bio, x509.get()); });
  }
  std::string KeyPem() const {
    return Text([this](BIO* bio) {
      PEM_write_bio_PrivateKey(bio, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    });
  }

 private:
  template <typename Write>
  static std::string Text(Write write) {
    const std::unique_ptr<BIO, decltype(&BIO_free)> bio(BIO_new(BIO_s_mem()), BIO_free);
    write(bio.get());
    char* data = nullptr;
    const long size = BIO_get_mem_data(bio.get(), &data);
    return {data, static_cast<std::size_t>(size)};
  }
};

// Creates a certificate that is valid for an hour, with `name` as its common name and DNS name. Without
// `issuer` it is a self-signed authority.
inline Certificate MakeCertificate(const std::string& name, const Certificate* issuer = nullptr) {
  static long last_serial = 0;
  Certificate certificate{{EVP_EC_gen("P-256"), EVP_PKEY_free}, {X509_new(), X509_free}};
  X509* const x509 = certificate.x509.get();
  X509_set_version(x509, 2);
  ASN1_INTEGER_set(X509_get_serialNumber(x509), ++last_serial);
  X509_gmtime_adj(X509_getm_notBefore(x509), -60);
  X509_gmtime_adj(X509_getm_notAfter(x509), 3600);
  X509_set_pubkey(x509, certificate.key.get());
  X509_NAME_add_entry_by_txt(X509_get_subject_name(x509), "CN", MBSTRING_ASC,
                             reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
  X509_set_issuer_name(x509, X509_get_subject_name(issuer != nullptr ? issuer->x509.get() : x509));
  const auto add_extension = [&](int nid, const std::string& value) {
    X509_EXTENSION* const extension = X509V3_EXT_conf_nid(nullptr, nullptr, nid, value.c_str());
    X509_add_ext(x509, extension, -1);
    X509_EXTENSION_free(extension);
  };
  add_extension(NID_basic_constraints, issuer != nullptr ? "CA:FALSE" : "critical,CA:TRUE");
  add_extension(NID_subject_alt_name, "DNS:" + name);
  X509_sign(x509, issuer != nullptr ? issuer->key.get() : certificate.key.get(), EVP_sha256());
  return certificate;
}

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_STANDINS_CERTIFICATES_HPP_
